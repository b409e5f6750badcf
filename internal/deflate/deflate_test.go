package deflate

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"
)

const testLimit = 1 << 16 // bytes

var testDictionary = []byte(`{"task":"attempt":1}`)

// TestRoundTrip checks that compressed data decompresses to the original, and
// that data above the limit is rejected.
func TestRoundTrip(t *testing.T) {
	codec := NewCodec(testDictionary, testLimit)
	rapid.Check(t, func(t *rapid.T) {
		unit := rapid.SliceOfN(rapid.Byte(), 1, 50).Draw(t, "unit")
		data := bytes.Repeat(unit, rapid.IntRange(0, 2*testLimit/len(unit)).Draw(t, "repeats"))
		got, err := codec.Decompress(codec.Compress(data))
		var large *TooLargeError
		if len(data) > testLimit {
			if !errors.As(err, &large) {
				t.Errorf("error %v for %d bytes, want *TooLargeError", err, len(data))
			}
			return
		}
		if err != nil || !bytes.Equal(got, data) {
			t.Errorf("%d bytes, error %v, want %d", len(got), err, len(data))
		}
	})
}

// FuzzDecompress decompresses arbitrary bytes: the size of the result is bounded,
// errors are typed, and the next message is not affected.
func FuzzDecompress(f *testing.F) {
	codec := NewCodec(testDictionary, testLimit)
	f.Add([]byte{})
	f.Add(codec.Compress([]byte(`{"task":"job/0","attempt":1}`)))
	f.Add(codec.Compress(make([]byte, 4*testLimit)))
	f.Fuzz(func(t *testing.T, data []byte) {
		plain, err := codec.Decompress(data)
		var malformed *MalformedError
		var large *TooLargeError
		if err != nil && !errors.As(err, &malformed) && !errors.As(err, &large) {
			t.Errorf("error %v", err)
		}
		if len(plain) > testLimit {
			t.Errorf("%d bytes", len(plain))
		}
		if again, err := codec.Decompress(codec.Compress(data)); len(data) <= testLimit && (err != nil || !bytes.Equal(again, data)) {
			t.Errorf("next message: %d bytes, error %v, want %d", len(again), err, len(data))
		}
	})
}
