package checker

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml/ast"
)

// namePattern keeps names usable in paths, headers, log lines and key-value keys.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// mapKey finds the keys of mappings in the validator's paths, where they stand in brackets like indexes.
var mapKey = regexp.MustCompile(`\[([^\]]*[^0-9\]][^\]]*)\]`)

// Fault is a value that breaks the rule in its validate tag.
type Fault struct {
	// Path leads from the value checked to the field.
	Path []string
	// Shown is Path as readers see it.
	Shown string
	// Text says behind Shown what the value is and what would be right.
	Text string
	// Advice says only what would be right.
	Advice string
}

// Struct checks a struct by its validate tags.
func Struct(value any) []Fault {
	var (
		faults []Fault
		found  validator.ValidationErrors
	)

	if !errors.As(sharedValidator().Struct(value), &found) {
		return nil
	}

	for _, v := range found {
		_, namespace, _ := strings.Cut(v.Namespace(), ".")
		faults = append(faults, Fault{
			Path:   segments(v.Namespace()),
			Shown:  mapKey.ReplaceAllString(namespace, ".$1"),
			Text:   fault(v),
			Advice: advice(v),
		})
	}

	return faults
}

// Ranges is Struct with the lines where the faults stand in the document.
func Ranges(value any, body ast.Node) []Problem {
	var problems []Problem
	for _, v := range Struct(value) {
		problems = append(problems, Problem{Line: LineAt(body, v.Path), Text: v.Shown + v.Text})
	}

	return problems
}

func fault(e validator.FieldError) string {
	switch {
	case e.Tag() == "required" || e.Tag() == "required_with":
		return " is missing; " + advice(e)
	case e.Tag() == "unique":
		return " names something twice; " + advice(e)
	case e.Kind() == reflect.Map:
		return fmt.Sprintf(" has %d entries; %s", reflect.ValueOf(e.Value()).Len(), advice(e))
	}

	return fmt.Sprintf(" is %s; %s", shownValue(e), advice(e))
}

// Var checks one value by a validate tag.
// It returns what is wrong, to be put behind the value's path, or nothing.
func Var(value any, tag string) []string {
	var (
		faults []string
		found  validator.ValidationErrors
	)

	if !errors.As(sharedValidator().Var(value, tag), &found) {
		return nil
	}

	for _, v := range found {
		faults = append(faults, v.Namespace()+fault(v))
	}

	return faults
}

// sharedValidator is safe for concurrent use and caches what it learns of types and tags.
var sharedValidator = sync.OnceValue(newValidator)

// IsName reports whether a text can name a branch, a service or a part of one.
func IsName(text string) bool {
	return namePattern.MatchString(text)
}

// NameAdvice says what a name looks like.
const NameAdvice = "use 1 to 100 letters, digits, dots, dashes and underscores, beginning with a letter or digit"

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("yaml") })

	rules := map[string]func(string) bool{
		"name":       namePattern.MatchString,
		"ip_port":    isIPPort,
		"reachable":  isReachable,
		"ip_url":     isIPURL,
		"sha256_hex": isSum,
	}
	for k, rule := range rules {
		// The only errors are an empty tag and a nil function.
		_ = v.RegisterValidation(k, func(l validator.FieldLevel) bool { return rule(l.Field().String()) })
	}

	return v
}

func isIPPort(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Addr().Zone() == ""
}

func isReachable(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && !address.Addr().IsUnspecified()
}

func isIPURL(text string) bool {
	parsed, err := url.Parse(text)
	if err != nil || parsed.User != nil || parsed.RawQuery != "" || parsed.Fragment != "" {
		return false
	}

	if parsed.Scheme != "http" && parsed.Scheme != "https" {
		return false
	}

	return isReachable(parsed.Host)
}

func isSum(text string) bool {
	sum, err := hex.DecodeString(text)
	return err == nil && len(sum) == sha256.Size && strings.ToLower(text) == text
}

func advice(e validator.FieldError) string {
	switch e.Tag() {
	case "min":
		return "the least is " + e.Param()
	case "max":
		return "the most is " + e.Param()
	case "oneof":
		return "write one of " + strings.ReplaceAll(e.Param(), " ", ", ")
	case "name":
		return NameAdvice
	case "ip_port":
		return "write an IP number and a port, such as 127.0.0.1:8080"
	case "reachable":
		return "write an IP number that others can reach, not that of all interfaces"
	case "ip_url":
		return "write a URL with an IP number and a port, such as http://127.0.0.1:8080"
	case "sha256_hex":
		return "write the SHA-256 sum of the key as 64 lower-case hexadecimal digits"
	case "unique":
		return "keep each name once"
	case "required_with":
		return "it is needed together with " + requiringKey(e)
	}

	return "write a value for it"
}

// requiringKey returns the key of the field that a required_with rule names.
func requiringKey(e validator.FieldError) string {
	switch e.Param() {
	case "KeyFile":
		return "key_file"
	case "CertificateFile":
		return "certificate_file"
	}

	return strings.ToLower(e.Param())
}

// shownValue returns the value for the reader of an error. A wrong key hash may
// be the key itself, and a URL may hold a password; neither goes into a log.
func shownValue(e validator.FieldError) string {
	text, ok := e.Value().(string)
	if !ok {
		return fmt.Sprint(e.Value())
	}

	if e.Tag() == "sha256_hex" {
		return fmt.Sprintf("a text of %d bytes", len(text))
	}

	if parsed, err := url.Parse(text); err == nil && parsed.User != nil {
		text = parsed.Redacted()
	}

	return fmt.Sprintf("%q", text)
}
