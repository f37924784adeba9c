package loader

import (
	"bytes"
	"os"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"

	"quincepath.example/quincepath/internal/checker"
	"quincepath.example/quincepath/pkg/classifier"
)

// maxFileBytes bounds what is read, so that a wrong path such as a device can't fill the memory.
const maxFileBytes = 16 << 20

// Load reads and checks the file at path.
// Its errors carry classifier.SettingsInvalid and one line for each problem.
func Load(path string) (Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Settings{}, unreadable(path, err)
	}

	if !info.Mode().IsRegular() {
		return Settings{}, classifier.New(classifier.SettingsInvalid, "%s is no ordinary file; name a YAML file", path)
	}

	if info.Size() > maxFileBytes {
		return Settings{}, classifier.New(classifier.SettingsInvalid, "%s has %d bytes; at most %d are read", path, info.Size(), maxFileBytes)
	}

	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, unreadable(path, err)
	}

	settings, err := Parse(path, data)
	settings.Path = path

	return settings, err
}

// Parse checks data like Load; name stands for the file in errors.
func Parse(name string, data []byte) (Settings, error) {
	body, problems := checker.Document(data)
	if len(problems) == 0 && body == nil {
		problems = []checker.Problem{{Line: 1, Text: "the file is empty; it needs at least the part node"}}
	}

	if len(problems) == 0 {
		problems = checker.Types(body, reflect.TypeFor[Settings]())
	}

	if !checker.Readable(problems) {
		return Settings{}, invalid(name, problems)
	}

	settings := Defaults()
	if err := yaml.NewDecoder(bytes.NewReader(data)).Decode(&settings); err != nil {
		return Settings{}, invalid(name, append(problems, checker.Located(err)))
	}

	if settings.Node.Advertise == "" {
		settings.Node.Advertise = settings.Node.Listen
	}

	problems = append(problems, checkValues(settings, body)...)
	if len(problems) > 0 {
		return Settings{}, invalid(name, problems)
	}

	return settings, nil
}

func unreadable(path string, err error) error {
	return classifier.Wrap(err, classifier.SettingsInvalid, "can't read the settings file %s", path)
}

func invalid(name string, problems []checker.Problem) error {
	return classifier.New(classifier.SettingsInvalid, "%s", strings.Join(checker.Lines(name, problems), "\n"))
}
