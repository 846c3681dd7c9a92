package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"

	notch "tamaracknotch"
)

// A frame is a payload behind its length and checksum, four bytes each.
const frameHeader = 8

// maxFrame bounds the length that a damaged header may claim.
const maxFrame = 1 << 30

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func frame(payload []byte) []byte {
	out := make([]byte, frameHeader, frameHeader+len(payload))
	binary.BigEndian.PutUint32(out, uint32(len(payload)))
	binary.BigEndian.PutUint32(out[4:], crc32.Checksum(payload, castagnoli))
	return append(out, payload...)
}

// unframe splits a file into payloads and returns the length of the sound part.
// Every sync writes one frame, so only the last one may be torn: it is dropped
// if the file ends within it or in bytes that were never written. Any other
// damage is ErrCorrupt, since a frame that was synced may have been acknowledged.
func unframe(b []byte) (payloads [][]byte, sound int64, err error) {
	for at := 0; at < len(b); {
		rest := b[at:]
		if len(rest) < frameHeader || allZero(rest) {
			return payloads, int64(at), nil
		}
		n := int(binary.BigEndian.Uint32(rest))
		if n > maxFrame {
			return nil, 0, errors.Wrapf(notch.ErrCorrupt, "frame at byte %d claims %d bytes", at, n)
		}
		if frameHeader+n > len(rest) {
			return payloads, int64(at), nil
		}
		payload := rest[frameHeader : frameHeader+n]
		if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(rest[4:]) {
			if at+frameHeader+n == len(b) && unwrittenTail(payload) {
				return payloads, int64(at), nil
			}
			return nil, 0, errors.Wrapf(notch.ErrCorrupt, "frame at byte %d has a wrong checksum", at)
		}
		payloads = append(payloads, payload)
		at += frameHeader + n
	}
	return payloads, int64(len(b)), nil
}

// pageSize is the unit in which a torn write leaves zeros behind.
const pageSize = 512

func unwrittenTail(b []byte) bool {
	return len(b) >= pageSize && allZero(b[len(b)-pageSize:])
}

func allZero(b []byte) bool { return len(bytes.TrimLeft(b, "\x00")) == 0 }
