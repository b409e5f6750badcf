package peer

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/internal/deflate"
)

// TestCompressedMessages sends messages over a stream that compresses and one
// that does not: they arrive as they were, and are counted as they went.
func TestCompressedMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		near, far := net.Pipe()
		sender, receiver := newStream(near, 0), newStream(far, time.Second)
		sender.compresses.Store(rapid.Bool().Draw(t, "compresses"))
		unit := rapid.StringMatching(`[a-z{}":,]{0,40}`).Draw(t, "unit")
		messages := rapid.SliceOfN(rapid.IntRange(0, 5000), 1, 5).Draw(t, "repeats")
		sent := 0
		go func() {
			defer near.Close()
			for _, n := range messages {
				sender.written = func(bytes int) { sent += bytes }
				_ = sender.WriteObject(string(bytes.Repeat([]byte(unit), n)))
			}
		}()
		for _, n := range messages {
			var got string
			if err := receiver.ReadObject(&got); err != nil {
				t.Fatal(err)
			}
			if want := string(bytes.Repeat([]byte(unit), n)); got != want {
				t.Fatalf("%d bytes arrived, want %d", len(got), len(want))
			}
		}
		var none json.RawMessage
		if err := receiver.ReadObject(&none); err == nil {
			t.Fatalf("message %s after the last", none)
		}
		if read := receiver.readBytes.Load(); read != int64(sent) {
			t.Errorf("%d bytes read, %d written", read, sent)
		}
	})
}

// TestInflateIsBounded decompresses more than a message may hold.
func TestInflateIsBounded(t *testing.T) {
	bomb, ok := compress(make([]byte, 16*MaxMessageBytes))
	if !ok {
		t.Fatal("zeros were not compressed")
	}
	var large *deflate.TooLargeError
	if _, err := messages.Decompress(bomb); !errors.As(err, &large) {
		t.Errorf("error %v, want a *TooLargeError", err)
	}
}

// TestHelloWithoutCompression lets either end know no compression, as hosts of
// an earlier version: calls are answered.
func TestHelloWithoutCompression(t *testing.T) {
	for name, h := range map[string]string{
		"earlier caller": `{"from":"a"}`,
		"other format":   `{"from":"a","compression":99}`,
		"same format":    `{"from":"a","compression":1}`,
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			defer near.Close()
			server := NewServer("entry-host-b", ServerOptions{}, log.NewNopLogger())
			go server.serveConn(t.Context(), far)
			s := newStream(near, time.Second)
			request := json.RawMessage(`{"jsonrpc":"2.0","id":1,"method":"peer.hello","params":` + h + `}`)
			if err := s.WriteObject(request); err != nil {
				t.Fatal(err)
			}
			first, err := s.reader.Peek(1)
			if err != nil {
				t.Fatal(err)
			}
			if compressed := first[0]&0x80 != 0; compressed != (name == "same format") {
				t.Errorf("answer compressed: %v", compressed)
			}
			var reply struct{ Result helloReply }
			if err := s.ReadObject(&reply); err != nil || reply.Result.Host != "entry-host-b" {
				t.Errorf("reply %+v, error %v", reply, err)
			}
		})
	}
}
