package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"

	notch "tamaracknotch"
)

// frameHeaderSize is the size of a frame's header in bytes: the length of the payload and
// its CRC-32C checksum, four bytes each.
const frameHeaderSize = 8

// maxPayload is the maximum length of a payload in bytes. A longer one means that the
// header is damaged.
const maxPayload = 1 << 30

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeFrame returns payload with its frame header.
func encodeFrame(payload []byte) []byte {
	out := make([]byte, frameHeaderSize, frameHeaderSize+len(payload))
	binary.BigEndian.PutUint32(out, uint32(len(payload)))
	binary.BigEndian.PutUint32(out[4:], crc32.Checksum(payload, castagnoli))
	return append(out, payload...)
}

// decodeFrames splits the content of a file into payloads. It returns the length of the
// part that holds whole frames. Every sync writes one frame, so only the last frame may be
// torn. It is dropped if the file ends within it, or ends in bytes that were never written.
// Any other damage is reported as ErrCorrupt, because a frame that was synced may have been
// acknowledged.
func decodeFrames(b []byte) (payloads [][]byte, validLength int64, err error) {
	for at := 0; at < len(b); {
		rest := b[at:]
		if len(rest) < frameHeaderSize || allZero(rest) {
			return payloads, int64(at), nil
		}
		n := int(binary.BigEndian.Uint32(rest))
		if n > maxPayload {
			return nil, 0, errors.Wrapf(notch.ErrCorrupt, "frame at byte %d has a payload of %d bytes, more than the limit of %d", at, n, maxPayload)
		}
		if frameHeaderSize+n > len(rest) {
			return payloads, int64(at), nil
		}
		payload := rest[frameHeaderSize : frameHeaderSize+n]
		if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(rest[4:]) {
			if at+frameHeaderSize+n == len(b) && endsUnwritten(payload) {
				return payloads, int64(at), nil
			}
			return nil, 0, errors.Wrapf(notch.ErrCorrupt, "frame at byte %d has a wrong checksum", at)
		}
		payloads = append(payloads, payload)
		at += frameHeaderSize + n
	}
	return payloads, int64(len(b)), nil
}

// sectorSize is the unit of a disk write in bytes. A torn write leaves a multiple of it
// filled with zeros.
const sectorSize = 512

// endsUnwritten reports whether b ends in a sector of zeros, as after a torn write.
func endsUnwritten(b []byte) bool {
	return len(b) >= sectorSize && allZero(b[len(b)-sectorSize:])
}

func allZero(b []byte) bool { return len(bytes.TrimLeft(b, "\x00")) == 0 }
