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

// side names an end of a connection. It is part of the MAC, so that an attacker can't
// send a proof back to the side that made it.
type side string

const (
	dialler  side = "dialler"
	acceptor side = "acceptor"
)

const nonceSize = 32 // bytes

// proof identifies one side and proves that this side holds the shared key.
type proof struct {
	Hello []byte // the encoded hello message
	MAC   []byte // HMAC-SHA-256 over the side, both nonces and Hello
}

// handshake exchanges nonces and then proofs, of which this side's holds hello. It returns the other
// side's hello.
func (l *Link) handshake(ctx context.Context, conn *websocket.Conn, own side, hello notch.Hello) (notch.Hello, error) {
	var none notch.Hello
	nonce := make([]byte, nonceSize)
	rand.Read(nonce)
	if err := conn.Write(ctx, websocket.MessageBinary, nonce); err != nil {
		return none, errors.Wrap(err, "send nonce")
	}
	_, otherNonce, err := conn.Read(ctx)
	if err != nil {
		return none, errors.Wrap(err, "read nonce")
	}
	if len(otherNonce) != nonceSize {
		return none, errors.New("handshake: wrong nonce")
	}
	other := acceptor
	dialNonce, acceptNonce := nonce, otherNonce
	if own == acceptor {
		other = dialler
		dialNonce, acceptNonce = otherNonce, nonce
	}
	if err := l.sendProof(ctx, conn, own, hello, dialNonce, acceptNonce); err != nil {
		return none, err
	}
	return l.readProof(ctx, conn, other, dialNonce, acceptNonce)
}

// sendProof sends this side's proof.
func (l *Link) sendProof(ctx context.Context, conn *websocket.Conn, own side, h notch.Hello, dialNonce, acceptNonce []byte) error {
	hello, err := wire.EncodeMessage(h)
	if err != nil {
		return err
	}
	b, err := cbor.Marshal(proof{Hello: hello, MAC: l.mac(own, dialNonce, acceptNonce, hello)})
	if err != nil {
		return errors.Wrap(err, "encode proof")
	}
	return errors.Wrap(conn.Write(ctx, websocket.MessageBinary, b), "send proof")
}

// readProof reads and checks the other side's proof. Daemons that belong to different
// clusters don't connect. Cluster is zero at a daemon that belongs to none yet.
func (l *Link) readProof(ctx context.Context, conn *websocket.Conn, other side, dialNonce, acceptNonce []byte) (notch.Hello, error) {
	var none notch.Hello
	_, b, err := conn.Read(ctx)
	if err != nil {
		return none, errors.Wrap(err, "read proof")
	}
	p, err := decodeProof(b)
	if err != nil {
		return none, err
	}
	if !hmac.Equal(p.MAC, l.mac(other, dialNonce, acceptNonce, p.Hello)) {
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

func (l *Link) mac(s side, dialNonce, acceptNonce, hello []byte) []byte {
	h := hmac.New(sha256.New, l.key)
	h.Write([]byte(s))
	h.Write(dialNonce)
	h.Write(acceptNonce)
	h.Write(hello)
	return h.Sum(nil)
}
