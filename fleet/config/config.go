// Package config reads settings from the environment and from flags, where
// flags take precedence, and validates them. The name of a setting is a single
// word, used as the flag --word and as the variable PREFIX_WORD.
package config

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/caarlos0/env/v11"
	"github.com/go-playground/validator/v10"
	"github.com/spf13/pflag"
)

// Bind fills target, a pointer to a struct, from the defaults in its tags and the
// environment, and adds a flag for each field. Fields are tagged with env,
// envDefault, validate and help.
func Bind(flags *pflag.FlagSet, prefix string, target any) error {
	opts := env.Options{Prefix: prefix + "_"}
	if err := env.ParseWithOptions(target, opts); err != nil {
		return &Error{Op: "read environment", Kind: Environment, Text: err.Error()}
	}
	v := reflect.ValueOf(target).Elem()
	for i := range v.NumField() {
		addFlag(flags, v.Type().Field(i), v.Field(i), prefix)
	}
	return nil
}

// settingName returns the name of a field's flag.
func settingName(f reflect.StructField) string { return strings.ToLower(f.Tag.Get("env")) }

func addFlag(flags *pflag.FlagSet, f reflect.StructField, v reflect.Value, prefix string) {
	name := settingName(f)
	help := fmt.Sprintf("%s [%s_%s]", f.Tag.Get("help"), prefix, f.Tag.Get("env"))
	switch p := v.Addr().Interface().(type) {
	case *string:
		flags.StringVar(p, name, *p, help)
	case *int:
		flags.IntVar(p, name, *p, help)
	case *time.Duration:
		flags.DurationVar(p, name, *p, help)
	case *bool:
		flags.BoolVar(p, name, *p, help)
	case *float64:
		flags.Float64Var(p, name, *p, help)
	}
}

// Check validates the settings by their validate tags. The error names the
// first invalid setting, its value and what is allowed.
func Check(prefix string, target any) error {
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(settingName)
	err := check.Struct(target)
	var wrong validator.ValidationErrors
	if !errors.As(err, &wrong) {
		return err
	}
	w := wrong[0]
	return &Error{
		Op:   "check settings",
		Kind: Value,
		Text: fmt.Sprintf("--%s (%s_%s) is %q: %s", w.Field(), prefix, strings.ToUpper(w.Field()), fmt.Sprint(w.Value()), allowed(w)),
	}
}

func allowed(w validator.FieldError) string {
	switch w.Tag() {
	case "required":
		return "it must be set"
	case "min":
		return "at least " + w.Param() + " is allowed"
	case "max":
		return "at most " + w.Param() + " is allowed"
	case "oneof":
		return "one of " + strings.ReplaceAll(w.Param(), " ", ", ") + " is allowed"
	case "hostname_port", "tcp_addr":
		return "an address IP:PORT is needed"
	case "excludesall":
		return "none of the characters " + w.Param() + " are allowed"
	}
	return "it must satisfy " + w.Tag() + " " + w.Param()
}

// Lines returns the effective settings in the form word=value.
func Lines(target any) []string {
	v := reflect.ValueOf(target).Elem()
	var out []string
	for i := range v.NumField() {
		out = append(out, fmt.Sprintf("%s=%v", settingName(v.Type().Field(i)), v.Field(i).Interface()))
	}
	return out
}
