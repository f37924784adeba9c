package configurer

import (
	"strings"

	"quincepath.example/quincepath/internal/checker"
	"quincepath.example/quincepath/pkg/classifier"
)

// Keys of the settings tree in the platform's store.
const (
	// BranchPrefix is followed by the path of a branch; the value is its YAML text.
	BranchPrefix = "/quincepath/tree/branch/"
	// HeadKey is written by every change, so its ModRevision is the revision of the tree.
	HeadKey = "/quincepath/tree/head"

	changePrefix   = "/quincepath/tree/change/"
	sequencePrefix = "/quincepath/tree/sequence/"
)

// MaxBranchBytes bounds the text of a branch. The store refuses values above a megabyte.
const MaxBranchBytes = 400 << 10

// Branch is one branch of the tree as it is stored.
type Branch struct {
	// Path is "" for the root; else names joined by slashes. All its ancestors are its parents, stored or not.
	Path string
	// Value is YAML text and holds only what the branch overrides.
	Value []byte
	// Revision is the store's revision of the last change of this branch.
	Revision int64
}

// BranchKey returns the store's key of a branch.
func BranchKey(path string) string {
	return BranchPrefix + path
}

// CheckPath returns an error with classifier.SettingsInvalid unless path can name a branch.
func CheckPath(path string) error {
	if path == "" {
		return nil
	}

	for _, v := range strings.Split(path, "/") {
		if !checker.IsName(v) {
			return classifier.New(classifier.SettingsInvalid, "the branch path %q has the part %q; %s", path, v, checker.NameAdvice)
		}
	}

	return nil
}

// parentOf returns the path of the parent; the root has none.
func parentOf(path string) (string, bool) {
	if path == "" {
		return "", false
	}

	at := strings.LastIndexByte(path, '/')
	if at < 0 {
		return "", true
	}

	return path[:at], true
}

func lastName(path string) string {
	return path[strings.LastIndexByte(path, '/')+1:]
}

// shown returns the path as errors show it, with a slash before it, so that the root is seen as well.
func shown(path string) string {
	return "/" + path
}
