package declaration

import (
	"math"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"
)

var (
	durationType    = reflect.TypeFor[time.Duration]()
	addressType     = reflect.TypeFor[netip.AddrPort]()
	ipType          = reflect.TypeFor[netip.Addr]()
	addressListType = reflect.TypeFor[[]netip.AddrPort]()
)

// parse sets f from text. If the text is invalid, it returns a description of what
// is allowed, otherwise "".
func parse(text string, f reflect.Value) string {
	switch f.Type() {
	case durationType:
		return parseDuration(text, f)
	case addressType:
		return parseAddress(text, f)
	case ipType:
		return parseIP(text, f)
	case addressListType:
		return parseAddresses(text, f)
	}

	switch f.Kind() {
	case reflect.String:
		f.SetString(text)
	case reflect.Bool:
		return parseBool(text, f)
	case reflect.Float64:
		return parseNumber(text, f)
	case reflect.Int64:
		return parseInteger(text, f)
	case reflect.Slice:
		f.Set(reflect.ValueOf(splitList(text)))
	default:
		return "nothing: the field has no text form"
	}

	return ""
}

func parseDuration(text string, f reflect.Value) string {
	d, err := time.ParseDuration(text)
	if err != nil {
		return "a duration such as 250ms, 2s or 1h30m"
	}

	f.SetInt(int64(d))

	return ""
}

func parseAddress(text string, f reflect.Value) string {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return "an IP address and port such as 127.0.0.1:7400"
	}

	f.Set(reflect.ValueOf(a))

	return ""
}

func parseIP(text string, f reflect.Value) string {
	a, err := netip.ParseAddr(text)
	if err != nil {
		return "an IP address such as 127.0.0.1"
	}

	f.Set(reflect.ValueOf(a))

	return ""
}

func parseAddresses(text string, f reflect.Value) string {
	var list []netip.AddrPort

	for _, t := range splitList(text) {
		a, err := netip.ParseAddrPort(t)
		if err != nil {
			return "IP addresses and ports with commas between"
		}

		list = append(list, a)
	}

	f.Set(reflect.ValueOf(list))

	return ""
}

func parseBool(text string, f reflect.Value) string {
	switch text {
	case "true":
		f.SetBool(true)
	case "false":
		f.SetBool(false)
	default:
		return "true or false"
	}

	return ""
}

func parseInteger(text string, f reflect.Value) string {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return "a whole number"
	}

	f.SetInt(n)

	return ""
}

func parseNumber(text string, f reflect.Value) string {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		return "a number such as 0.25"
	}

	f.SetFloat(n)

	return ""
}

func splitList(text string) []string {
	var list []string

	for _, t := range strings.Split(text, ",") {
		if t = strings.TrimSpace(t); t != "" {
			list = append(list, t)
		}
	}

	return list
}
