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
	// keyRefresh is how often an entry reads the session keys; a new key is
	// written ahead of its first use by more than this.
	keyRefresh = 30 * time.Second
	// keyRetry is the pause after a failed read or a lost race.
	keyRetry = 500 * time.Millisecond
)

// refreshSessionKeys reads the session keys and rotates them when due. Every
// entry may rotate; the conditional write lets one of them win.
func (d *entryDaemon) refreshSessionKeys(ctx context.Context) {
	log := observe.Part(d.log, "session")
	for {
		pause := keyRefresh
		if err := d.refreshKeysOnce(ctx); err != nil {
			log.Warn("session keys are not refreshed", zap.Error(err))
			pause = keyRetry
		}
		if wait(ctx, nil, pause); ctx.Err() != nil {
			return
		}
	}
}

func (d *entryDaemon) refreshKeysOnce(ctx context.Context) error {
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
	rotated, changed, err := session.Rotate(time.Now(), stored, session.DefaultRotation(), rand.Reader)
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
