package wal

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	notch "tamaracknotch"
)

const (
	identityName = "identity"
	founderLine  = "founder\n" // at the end of the identity file of a founder
)

// Identity identifies a data folder. A folder that is wiped and created again gets a new
// identity.
type Identity struct {
	Storage uint64 // random and not zero
	Cluster uint64 // zero until the cluster is known
	Founder bool   // the folder was created to begin the cluster
}

// Identity returns the identity of the folder. A folder without an identity and without a log gets
// the identity fresh.
func (j *Journal) Identity(fresh Identity) (Identity, error) {
	var id Identity
	names, err := j.files.List()
	if err != nil {
		return Identity{}, errors.Wrap(err, "list data folder")
	}
	if slices.Contains(names, identityName) {
		b, err := j.files.Read(identityName)
		if err != nil {
			return Identity{}, errors.Wrap(err, "read identity")
		}
		text, founder := strings.CutSuffix(string(b), founderLine)
		if _, err := fmt.Sscanf(text, "storage %d\ncluster %d\n", &id.Storage, &id.Cluster); err != nil || id.Storage == 0 {
			return Identity{}, errors.Wrapf(notch.ErrCorrupt, "identity file has invalid content %q", b)
		}
		id.Founder = founder
		return id, nil
	}
	if slices.ContainsFunc(names, func(n string) bool { return strings.HasPrefix(n, segmentPrefix) }) {
		return Identity{}, errors.Wrap(notch.ErrCorrupt, "the data folder has a log but no identity")
	}
	return fresh, j.SetIdentity(fresh)
}

// SetCluster implements [notch.Journal].
func (j *Journal) SetCluster(cluster uint64) error {
	id, err := j.Identity(Identity{})
	if err != nil {
		return err
	}
	id.Cluster = cluster
	return j.SetIdentity(id)
}

// SetIdentity replaces the folder's identity.
func (j *Journal) SetIdentity(id Identity) error {
	text := fmt.Sprintf("storage %d\ncluster %d\n", id.Storage, id.Cluster)
	if id.Founder {
		text += founderLine
	}
	return errors.Wrap(j.files.WriteAtomic(identityName, []byte(text)), "write identity")
}
