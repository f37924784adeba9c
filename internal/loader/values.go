package loader

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml/ast"
)

// namePattern keeps names usable in paths, headers, log lines and key-value keys.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// mapKey finds the keys of mappings in the validator's paths, where they stand in brackets like indexes.
var mapKey = regexp.MustCompile(`\[([^\]]*[^0-9\]][^\]]*)\]`)

// valueChecker finds values out of range and the lines where they stand.
type valueChecker struct {
	body     ast.Node
	problems []problem
}

func checkValues(settings Settings, body ast.Node) []problem {
	c := valueChecker{body: body}
	c.checkRanges(settings)

	for k, v := range settings.Services {
		c.checkService([]string{"services", k}, v)
	}

	return c.problems
}

func (c *valueChecker) add(path []string, format string, args ...any) {
	c.problems = append(c.problems, problem{line: lineAt(c.body, path), text: fmt.Sprintf(format, args...)})
}

func (c *valueChecker) checkRanges(settings Settings) {
	err := newValidator().Struct(settings)

	var found validator.ValidationErrors
	if !errors.As(err, &found) {
		return
	}

	for _, v := range found {
		path := segments(v.Namespace())
		shown := mapKey.ReplaceAllString(strings.TrimPrefix(v.Namespace(), "Settings."), ".$1")

		switch {
		case v.Tag() == "required" || v.Tag() == "required_with":
			c.add(path, "%s is missing; %s", shown, advice(v))
		case v.Tag() == "unique":
			c.add(path, "%s names something twice; %s", shown, advice(v))
		case v.Kind() == reflect.Map:
			c.add(path, "%s has %d entries; %s", shown, reflect.ValueOf(v.Value()).Len(), advice(v))
		default:
			c.add(path, "%s is %s; %s", shown, shownValue(v), advice(v))
		}
	}
}

// checkService checks the rules that join several fields of a service.
func (c *valueChecker) checkService(path []string, service Service) {
	at := func(more ...string) []string { return append(append([]string(nil), path...), more...) }
	shown := strings.Join(path, ".")

	if _, ok := service.Classes[service.DefaultClass]; !ok && service.DefaultClass != "" {
		c.add(at("default_class"), "%s.default_class is %q; name one of the service's classes", shown, service.DefaultClass)
	}

	var sum float64

	for k, v := range service.Classes {
		sum += v.GuaranteedShare

		if v.Hedge && !v.Repeatable {
			c.add(at("classes", k, "hedge"), "%s.classes.%s.hedge is true; only a class with repeatable: true may hedge", shown, k)
		}

		if v.TokenGap > 0 && service.Kind == "plain" {
			c.add(at("classes", k, "token_gap"), "%s.classes.%s.token_gap is %s; a plain service has no tokens, so remove it", shown, k, v.TokenGap)
		}
	}

	// The slack allows for shares such as 0.1 that binary numbers can't hold exactly.
	if sum > 1+1e-9 {
		c.add(at("classes"), "%s.classes have guaranteed_share values with the sum %.3g; keep it at 1 or less", shown, sum)
	}
}

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
	return err == nil && len(sum) == 32 && strings.ToLower(text) == text
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
		return "use 1 to 100 letters, digits, dots, dashes and underscores, beginning with a letter or digit"
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
		return "it is needed together with " + neighbour(e)
	}

	return "write a value for it"
}

// neighbour returns the key of the field that a required_with rule names.
func neighbour(e validator.FieldError) string {
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
