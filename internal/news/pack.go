package news

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// packFrom is the length in bytes from which an update is compressed. Shorter ones hold a
	// change or two and would not become shorter.
	packFrom = 512
	// maxUnpacked bounds an update in bytes: some 60,000 workers.
	maxUnpacked = 16 << 20
)

// packer compresses updates for their way between gateways. A configuration becomes 4 to 6
// times shorter. Its zero value is ready for use.
type packer struct {
	// writer is kept, because a new one takes 1.2 MB.
	writer *flate.Writer
}

// pack returns a JSON string of the compressed update, or a short update as it is.
func (p *packer) pack(raw json.RawMessage) (json.RawMessage, error) {
	if len(raw) < packFrom {
		return raw, nil
	}
	var buf bytes.Buffer
	if p.writer == nil {
		w, err := flate.NewWriter(nil, flate.BestSpeed)
		if err != nil {
			return nil, eris.Wrap(err, "update cannot be compressed")
		}
		p.writer = w
	}
	p.writer.Reset(&buf)
	if _, err := p.writer.Write(raw); err != nil {
		return nil, eris.Wrap(err, "update cannot be compressed")
	}
	if err := p.writer.Close(); err != nil {
		return nil, eris.Wrap(err, "update cannot be compressed")
	}
	packed, err := json.Marshal(buf.Bytes())
	return packed, eris.Wrap(err, "update cannot be encoded")
}

// unpack returns the JSON object of an update.
func unpack(packed json.RawMessage) (json.RawMessage, error) {
	if !bytes.HasPrefix(packed, []byte{'"'}) {
		return packed, nil
	}
	var compressed []byte
	if err := json.Unmarshal(packed, &compressed); err != nil {
		return nil, eris.Wrap(err, "news cannot be decoded")
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxUnpacked+1))
	if err != nil {
		return nil, eris.Wrap(err, "news cannot be decompressed")
	}
	if len(raw) > maxUnpacked {
		return nil, eris.Errorf("news are longer than %d bytes", maxUnpacked)
	}
	return raw, nil
}
