package daemon

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/observe"
	"github.com/borageflow/borageflow/internal/platform"
	"github.com/borageflow/borageflow/internal/session"
)

const (
	// keyRefreshInterval is how often an entry reads the session keys. A new key is stored
	// longer than this before its first use, so that every entry knows it by then.
	keyRefreshInterval = 30 * time.Second
	// keyRetryDelay is the pause after a failed read, or after another entry rotated the keys
	// first.
	keyRetryDelay = 500 * time.Millisecond
)

// refreshSessionKeys reads the session keys and rotates them when due. Every entry may
// rotate them; the conditional write lets only one succeed.
func (d *entryDaemon) refreshSessionKeys(ctx context.Context) {
	log := observe.ComponentLogger(d.log, "session")
	for {
		pause := keyRefreshInterval
		if err := d.refreshSessionKeysOnce(ctx); err != nil {
			log.Warn("session keys were not refreshed, the read is repeated", zap.Error(err))
			pause = keyRetryDelay
		}
		if waitOrTimeout(ctx, nil, pause); ctx.Err() != nil {
			return
		}
	}
}

func (d *entryDaemon) refreshSessionKeysOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var stored api.SessionKeys
	object, err := d.store.Get(ctx, session.ObjectKey)
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return err
	default:
		if err := json.Unmarshal(object.Value, &stored); err != nil {
			return err
		}
	}
	rotated, changed, err := session.RotateKeys(time.Now(), stored, session.DefaultRotationPolicy(), rand.Reader)
	if err != nil {
		return err
	}
	value := object.Value
	if changed {
		if value, err = json.Marshal(rotated); err != nil {
			return err
		}
		if _, err := d.store.Put(ctx, session.ObjectKey, value, object.Version); err != nil {
			return err
		}
	}
	d.loop.events.Put(ctx, entry.SessionKeysRead{Value: value})
	return nil
}
