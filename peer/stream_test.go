package peer

import (
	"bytes"
	"encoding/json"
	"net"
	"testing"
	"time"
)

// FuzzReadObject reads arbitrary bytes as messages: reading must end without a
// panic, with bounded memory, and must not count more bytes than were sent.
func FuzzReadObject(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x02{}"))
	f.Add([]byte("\x00\x00\x00\x04null\x00\x00\x00\x09{\"id\":1}\n"))
	f.Add([]byte("\xff\xff\xff\xff{}"))
	f.Add([]byte("\x00\x3f\xff\xff{"))
	f.Add([]byte("\x80\x00\x00\x08\xaaV*J-.\xcd"))
	if data, ok := compress(bytes.Repeat([]byte(`{"id":1},`), 50)); ok {
		f.Add(append([]byte{0x80, 0, 0, byte(len(data))}, data...))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		go func() {
			_, _ = far.Write(data)
			far.Close()
		}()
		s := newStream(near, time.Second)
		for {
			var m json.RawMessage
			if err := s.ReadObject(&m); err != nil {
				break
			}
		}
		near.Close()
		if s.readBytes.Load() > int64(len(data)) {
			t.Errorf("counted %d bytes read, only %d were sent", s.readBytes.Load(), len(data))
		}
	})
}
