package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"unicode/utf8"
)

// SoftwareVersion identifies the software that a server runs. Versions have no order. The zero
// value is an unknown version.
type SoftwareVersion string

const (
	// maxVersionBytes is the size of the longest version that is kept as announced.
	maxVersionBytes = 64
	// digestPrefix begins the versions that stand for an announced one.
	digestPrefix = "sha256:"
	// conflictingVersion is that of a start that has announced several versions. No version
	// returned by NewSoftwareVersion is equal to it.
	conflictingVersion SoftwareVersion = digestPrefix
)

// NewSoftwareVersion returns the version for the text that a server announces. Texts that are
// empty, long or begin like a digest are replaced by their digest: different texts give
// different versions of bounded size. A text that was not decodable gives an unknown version.
func NewSoftwareVersion(announced string) SoftwareVersion {
	if strings.ContainsRune(announced, utf8.RuneError) {
		return ""
	}
	if announced != "" && len(announced) <= maxVersionBytes && !strings.HasPrefix(announced, digestPrefix) {
		return SoftwareVersion(announced)
	}
	sum := sha256.Sum256([]byte(announced))
	return SoftwareVersion(digestPrefix + hex.EncodeToString(sum[:]))
}

// Known reports whether the version says what software the server runs.
func (v SoftwareVersion) Known() bool { return v != "" && v != conflictingVersion }

// Same reports whether two versions are known and equal.
func (v SoftwareVersion) Same(x SoftwareVersion) bool { return v.Known() && v == x }

// merge returns the version of a start that had announced old and now announces v. The version
// of a start can't change: two different ones make it unknown for good.
func (v SoftwareVersion) merge(old SoftwareVersion) SoftwareVersion {
	switch {
	case old == "":
		return v
	case v == "" || v == old:
		return old
	}
	return conflictingVersion
}
