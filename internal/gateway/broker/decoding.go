package broker

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// decodeChoose decodes the parameters of MethodChoose.
func decodeChoose(params json.RawMessage) (chooseParams, error) {
	var decoded chooseParams
	if gjson.ValidBytes(params) && setChoose(&decoded, gjson.ParseBytes(params)) {
		return decoded, nil
	}

	decoded = chooseParams{}
	err := json.Unmarshal(params, &decoded)

	return decoded, err
}

// decodeReports decodes the parameters of MethodReport.
func decodeReports(params json.RawMessage) (reportParams, error) {
	var decoded reportParams
	if gjson.ValidBytes(params) && setReports(&decoded, gjson.ParseBytes(params)) {
		return decoded, nil
	}

	decoded = reportParams{}
	err := json.Unmarshal(params, &decoded)

	return decoded, err
}

// The functions below decode the messages that each request causes without reflection, which took a third of a holder's processor
// time. They return false for anything that nodes don't send in most messages: an unknown field, null, a string with escapes
// or a value of another type. encoding/json then decodes the whole message or says what is wrong with it. A field that is
// added to one of the types belongs here too.

func setChoose(params *chooseParams, value gjson.Result) bool {
	return setFields(value, func(key string, value gjson.Result) bool {
		switch key {
		case "s":
			return setString(&params.Pool, value)
		case "w":
			return setRequest(&params.Work, value)
		case "f":
			return setBool(&params.Forced, value)
		case "l":
			return json.Unmarshal([]byte(value.Raw), &params.Limits) == nil
		default:
			return false
		}
	})
}

func setReports(params *reportParams, value gjson.Result) bool {
	return setFields(value, func(key string, value gjson.Result) bool {
		return key == "r" && setElements(&params.Reports, value, setReport)
	})
}

func setReport(r *report, value gjson.Result) bool {
	return setFields(value, func(key string, value gjson.Result) bool {
		switch key {
		case "s":
			return setString(&r.Pool, value)
		case "i":
			return setString(&r.ID, value)
		case "f":
			return setBool(&r.First, value)
		case "b":
			r.Begin = &beginReport{}

			return setBegin(r.Begin, value)
		case "l":
			r.Load = &balancer.Load{}

			return setLoad(r.Load, value)
		case "p":
			r.Pauses = &balancer.EventGaps{}

			return setGaps(r.Pauses, value)
		case "e":
			r.End = new(balancer.Outcome)

			return setInt(r.End, value)
		default:
			return setRareField(r, key, value)
		}
	})
}

func setRareField(r *report, key string, value gjson.Result) bool {
	switch key {
	case "v":
		return setString(&r.Leaving, value)
	case "z":
		return setString(&r.Resting, value)
	case "t":
		return setFloat(&r.RestMS, value)
	case "q":
		return json.Unmarshal([]byte(value.Raw), &r.Limit) == nil
	case "x":
		return json.Unmarshal([]byte(value.Raw), &r.Brittle) == nil
	case "g":
		return json.Unmarshal([]byte(value.Raw), &r.Grant) == nil
	default:
		return false
	}
}

func setBegin(begin *beginReport, value gjson.Result) bool {
	return setFields(value, func(key string, value gjson.Result) bool {
		switch key {
		case "u":
			return setString(&begin.Upstream, value)
		case "w":
			return setRequest(&begin.Work, value)
		case "a":
			return setBool(&begin.Answered, value)
		case "r":
			return setBool(&begin.Earlier, value)
		default:
			return false
		}
	})
}

func setRequest(request *balancer.Request, value gjson.Result) bool {
	return setFields(value, func(key string, value gjson.Result) bool {
		switch key {
		case "id":
			return setString(&request.ID, value)
		case "p":
			return setInt(&request.Priority, value)
		case "r":
			return setInt(&request.OrganisationRank, value)
		case "c":
			return setElements(&request.PromptParts, value, setPart)
		case "n":
			return setInt(&request.PromptTokens, value)
		case "o":
			return setInt(&request.OutputTokens, value)
		case "t":
			return setInt(&request.Target, value)
		case "g":
			return setInt(&request.GapLimit, value)
		case "l":
			return setInt(&request.TimeLimit, value)
		case "x":
			return setElements(&request.Excluded, value, setString)
		case "s":
			return setString(&request.SoftwareVersion, value)
		default:
			return setAdmissionField(request, key, value)
		}
	})
}

// setAdmissionField sets a field that only admission to the queue uses.
func setAdmissionField(request *balancer.Request, key string, value gjson.Result) bool {
	switch key {
	case "h":
		return setInt(&request.LengthHint, value)
	case "o2":
		return setString(&request.Organisation, value)
	case "k":
		return json.Unmarshal([]byte(value.Raw), &request.Content) == nil
	case "u":
		return setBool(&request.Resumed, value)
	default:
		return false
	}
}

func setPart(part *balancer.PromptPart, value gjson.Result) bool {
	return setFields(value, func(key string, value gjson.Result) bool {
		switch key {
		case "i":
			return setString(&part.ID, value)
		case "t":
			return setInt(&part.Tokens, value)
		default:
			return false
		}
	})
}

func setLoad(load *balancer.Load, value gjson.Result) bool {
	return setFields(value, func(key string, value gjson.Result) bool {
		switch key {
		case "r":
			return setInt(&load.Running, value)
		case "w":
			return setInt(&load.Waiting, value)
		case "s":
			return setInt(&load.Slots, value)
		case "t":
			return setFloat(&load.WorkTime, value)
		default:
			return false
		}
	})
}

func setGaps(gaps *balancer.EventGaps, value gjson.Result) bool {
	return setFields(value, func(key string, value gjson.Result) bool {
		switch key {
		case "n":
			return setInt(&gaps.Events, value)
		case "m":
			return setFloat(&gaps.MeanMS, value)
		case "l":
			return setFloat(&gaps.LongestMS, value)
		default:
			return false
		}
	})
}

// setFields calls set for each field of an object until it returns false.
func setFields(object gjson.Result, set func(key string, value gjson.Result) bool) bool {
	if !object.IsObject() {
		return false
	}

	known := true

	object.ForEach(func(key, value gjson.Result) bool {
		known = set(key.Str, value)

		return known
	})

	return known
}

// setElements appends the elements of an array.
func setElements[T any](elements *[]T, array gjson.Result, set func(element *T, value gjson.Result) bool) bool {
	if !array.IsArray() {
		return false
	}

	known := true
	*elements = []T{}

	array.ForEach(func(_, value gjson.Result) bool {
		var element T

		known = set(&element, value)
		*elements = append(*elements, element)

		return known
	})

	return known
}

// setString copies the string: pools keep IDs for minutes, and would keep the whole message with them.
func setString(target *string, value gjson.Result) bool {
	// encoding/json replaces bytes that are not UTF-8.
	if value.Type != gjson.String || len(value.Str) != len(value.Raw)-len(`""`) || !isASCII(value.Str) {
		return false
	}

	*target = strings.Clone(value.Str)

	return true
}

func isASCII(text string) bool {
	for i := range len(text) {
		if text[i] >= 0x80 {
			return false
		}
	}

	return true
}

func setInt[T ~int | ~int64](target *T, value gjson.Result) bool {
	if value.Type != gjson.Number {
		return false
	}

	number, err := strconv.ParseInt(value.Raw, 10, strconv.IntSize)
	*target = T(number)

	return err == nil
}

func setFloat(target *float64, value gjson.Result) bool {
	if value.Type != gjson.Number {
		return false
	}

	number, err := strconv.ParseFloat(value.Raw, 64)
	*target = number

	return err == nil
}

func setBool(target *bool, value gjson.Result) bool {
	*target = value.Type == gjson.True

	return value.IsBool()
}
