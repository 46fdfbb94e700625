package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"reflect"
	"strings"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/structs"
)

// objectTypes maps each kind of configuration object to a function that allocates one.
var objectTypes = map[structs.Kind]func() any{
	structs.KindSite:         func() any { return new(structs.Site) },
	structs.KindZone:         func() any { return new(structs.Zone) },
	structs.KindHost:         func() any { return new(structs.Host) },
	structs.KindOrganisation: func() any { return new(structs.Organisation) },
	structs.KindModel:        func() any { return new(structs.Model) },
	structs.KindService:      func() any { return new(structs.Service) },
	structs.KindTarget:       func() any { return new(structs.Target) },
	structs.KindKey:          func() any { return new(structs.Key) },
	structs.KindDrain:        func() any { return new(structs.Drain) },
	structs.KindFingerprint:  func() any { return new(structs.Fingerprint) },
}

// objectView is the printed form of a configuration object.
type objectView struct {
	Kind     structs.Kind `json:"kind"`
	Name     string       `json:"name"`
	Revision uint64       `json:"revision"`
	Object   any          `json:"object"`
}

func getVerb() *verb {
	return &verb{
		name:     "get",
		synopsis: "show configuration objects in force",
		args:     "[KIND [NAME]]",
		example:  "figlbctl get organisation\nfiglbctl get target engine-01 -output json",
		flags: func(*flag.FlagSet) runFunc {
			return get
		},
	}
}

func get(ctx context.Context, in *invocation) error {
	if len(in.args) > 2 {
		return usagef("expected at most KIND and NAME")
	}
	var q structs.ConfigQuery
	if len(in.args) > 0 {
		kind := structs.Kind(in.args[0])
		if objectTypes[kind] == nil {
			return usagef("kind %q is unknown", kind)
		}
		q.Kinds = []structs.Kind{kind}
	}
	reply, err := in.api.QueryConfig(ctx, q)
	if err != nil {
		return err
	}
	views, err := viewObjects(reply.Objects, in.args)
	if err != nil {
		return err
	}
	if len(in.args) == 2 && len(views) == 0 {
		return errors.Errorf("%s %q does not exist; list all with 'figlbctl get %s'", in.args[0], in.args[1], in.args[0])
	}
	return printObjects(in, views)
}

func viewObjects(objects []structs.Object, args []string) ([]objectView, error) {
	views := []objectView{}
	for _, o := range objects {
		if o.Deleted || (len(args) == 2 && o.Name != args[1]) {
			continue
		}
		v, err := viewObject(o)
		if err != nil {
			return nil, err
		}
		views = append(views, v)
	}
	return views, nil
}

func viewObject(o structs.Object) (objectView, error) {
	view := objectView{Kind: o.Kind, Name: o.Name, Revision: o.ModRev}
	make := objectTypes[o.Kind]
	if make == nil {
		return view, nil // the kind was introduced by a newer version
	}
	v := make()
	if err := msgpack.Unmarshal(o.Data, v); err != nil {
		return view, errors.Wrapf(err, "decode %s %s", o.Kind, o.Name)
	}
	view.Object = reflect.ValueOf(v).Elem().Interface()
	return view, nil
}

func printObjects(in *invocation, views []objectView) error {
	var rows [][]string
	for _, v := range views {
		rows = append(rows, []string{string(v.Kind), v.Name, formatInt(v.Revision), describe(v.Object)})
	}
	return in.print(views, []string{"KIND", "NAME", "REVISION", "VALUE"}, rows)
}

// describe formats the fields of an object, except its name, on one line in the order of
// their declaration.
func describe(object any) string {
	text, err := json.Marshal(object)
	if err != nil {
		return err.Error()
	}
	var fields map[string]any
	if json.Unmarshal(text, &fields) != nil {
		return string(text)
	}
	var parts []string
	t := reflect.TypeOf(object)
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if v, ok := fields[name]; ok && name != "name" {
			parts = append(parts, fmt.Sprintf("%s=%v", name, v))
		}
	}
	return strings.Join(parts, " ")
}
