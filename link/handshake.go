package link

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	notch "tamaracknotch"
	"tamaracknotch/wire"
)

// side tells the ends of a connection apart, so that a proof can't be reflected.
type side string

const (
	dialler  side = "dialler"
	acceptor side = "acceptor"
)

const nonceSize = 32 // bytes

// proof says who a side is and that it holds the key.
type proof struct {
	Hello []byte // encoded
	MAC   []byte // over the side, both nonces and Hello
}

// handshake exchanges nonces, then proofs.
func (l *Link) handshake(ctx context.Context, conn *websocket.Conn, own side) (notch.Hello, error) {
	var none notch.Hello
	nonce := make([]byte, nonceSize)
	rand.Read(nonce)
	if err := conn.Write(ctx, websocket.MessageBinary, nonce); err != nil {
		return none, errors.Wrap(err, "send nonce")
	}
	_, their, err := conn.Read(ctx)
	if err != nil {
		return none, errors.Wrap(err, "read nonce")
	}
	if len(their) != nonceSize {
		return none, errors.New("handshake: wrong nonce")
	}
	other := acceptor
	dial, accept := nonce, their
	if own == acceptor {
		other = dialler
		dial, accept = their, nonce
	}
	if err := l.prove(ctx, conn, own, dial, accept); err != nil {
		return none, err
	}
	return l.verify(ctx, conn, other, dial, accept)
}

func (l *Link) prove(ctx context.Context, conn *websocket.Conn, own side, dial, accept []byte) error {
	hello, err := wire.EncodeMessage(l.helloNow())
	if err != nil {
		return err
	}
	b, err := cbor.Marshal(proof{Hello: hello, MAC: l.mac(own, dial, accept, hello)})
	if err != nil {
		return errors.Wrap(err, "encode proof")
	}
	return errors.Wrap(conn.Write(ctx, websocket.MessageBinary, b), "send proof")
}

func (l *Link) verify(ctx context.Context, conn *websocket.Conn, other side, dial, accept []byte) (notch.Hello, error) {
	var none notch.Hello
	_, b, err := conn.Read(ctx)
	if err != nil {
		return none, errors.Wrap(err, "read proof")
	}
	p, err := decodeProof(b)
	if err != nil {
		return none, err
	}
	if !hmac.Equal(p.MAC, l.mac(other, dial, accept, p.Hello)) {
		return none, errors.New("handshake: the other side has another key")
	}
	m, err := wire.DecodeMessage(p.Hello)
	if err != nil {
		return none, err
	}
	hello, ok := m.(notch.Hello)
	if !ok {
		return none, errors.Errorf("handshake: got a %T", m)
	}
	if own := l.helloNow().Cluster; own != 0 && hello.Cluster != 0 && own != hello.Cluster {
		return none, errors.New("handshake: the other side belongs to another cluster")
	}
	return hello, nil
}

func decodeProof(b []byte) (p proof, err error) {
	err = cbor.Unmarshal(b, &p)
	return p, errors.Wrap(err, "decode proof")
}

func (l *Link) mac(s side, dial, accept, hello []byte) []byte {
	h := hmac.New(sha256.New, l.key)
	h.Write([]byte(s))
	h.Write(dial)
	h.Write(accept)
	h.Write(hello)
	return h.Sum(nil)
}
