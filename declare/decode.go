package declare

import (
	"fmt"
	"regexp"
	"time"

	"github.com/figlb/figlb/inifile"
	"github.com/figlb/figlb/structs"
)

// Defaults of optional keys.
const (
	defaultWeight          = 1
	defaultBudgetTokens    = 4_000_000
	defaultMaxTurns        = 370
	defaultContextTokens   = 131_072
	defaultMaxOutputTokens = 1024
	defaultTimeout         = 30 * time.Second
	defaultSlots           = 8
	defaultColdSlots       = 1
)

// validName matches names that are safe in paths, headers and log lines.
var validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

type siteSection struct {
	Name string `ini:"name,required"`
}

type zoneSection struct{}

type hostSection struct {
	Zone string `ini:"zone,required"`
}

type organisationSection struct {
	Rate         inifile.Rate `ini:"rate,required"`
	Burst        int          `ini:"burst,required,min=1"`
	Weight       int          `ini:"weight,min=1"`
	BudgetTokens int64        `ini:"budget_tokens,min=1"`
	MaxTurns     int          `ini:"max_turns,min=1"`
}

type modelSection struct {
	ContextTokens int `ini:"context_tokens,min=1"`
}

type serviceSection struct {
	Model           string        `ini:"model"`
	Class           string        `ini:"class,oneof=interactive|batch|lookup"`
	MaxOutputTokens int           `ini:"max_output_tokens,min=1"`
	Deadline        time.Duration `ini:"deadline,min=1s"`
	Prefix          string        `ini:"prefix"`
	Repeatable      bool          `ini:"repeatable"`
	Open            bool          `ini:"open"`
	Timeout         time.Duration `ini:"timeout,min=10ms"`
	StatusPath      string        `ini:"status_path"`
}

type targetSection struct {
	Host          string `ini:"host,required"`
	Address       string `ini:"address,required"`
	Model         string `ini:"model"`
	Service       string `ini:"service"`
	Software      string `ini:"software"`
	Slots         int    `ini:"slots,min=1"`
	ColdSlots     int    `ini:"cold_slots,min=1"`
	ChecksFencing bool   `ini:"checks_fencing"`
}

// decoder turns sections into declared objects. It keeps the section of each object, so
// that a problem found later is reported with its file and line.
type decoder struct {
	decl     structs.Declaration
	problems inifile.Problems
	sites    []*inifile.Section
	sections map[string]*inifile.Section // by section header
}

func (d *decoder) report(ps ...inifile.Problem) { d.problems = append(d.problems, ps...) }

func (d *decoder) decode(s *inifile.Section) {
	if d.sections == nil {
		d.sections = map[string]*inifile.Section{}
	}
	d.sections[s.Header()] = s
	if s.Kind == "site" {
		d.decodeSite(s)
		return
	}
	decode, ok := decoders[s.Kind]
	if !ok {
		d.report(s.Problem("", "section is unknown",
			"use [site], [zone NAME], [host NAME], [organisation NAME], [model NAME], [service NAME] or [target NAME]"))
		return
	}
	if !validName.MatchString(s.Name) {
		d.report(s.Problem("", fmt.Sprintf("name %q is not valid", s.Name),
			"use up to 63 lower-case letters, digits, dots and hyphens, beginning and ending with a letter or digit"))
	}
	if s.Name == "" {
		return // the checks find sections by kind and name
	}
	decode(d, s)
}

var decoders = map[string]func(*decoder, *inifile.Section){
	"zone":         (*decoder).decodeZone,
	"host":         (*decoder).decodeHost,
	"organisation": (*decoder).decodeOrganisation,
	"model":        (*decoder).decodeModel,
	"service":      (*decoder).decodeService,
	"target":       (*decoder).decodeTarget,
}

func (d *decoder) decodeSite(s *inifile.Section) {
	var v siteSection
	d.report(inifile.Decode(s, &v)...)
	d.sites = append(d.sites, s)
	d.decl.Site = structs.Site{Name: v.Name}
}

func (d *decoder) decodeZone(s *inifile.Section) {
	d.report(inifile.Decode(s, &zoneSection{})...)
	d.decl.Zones = append(d.decl.Zones, structs.Zone{Name: s.Name})
}

func (d *decoder) decodeHost(s *inifile.Section) {
	var v hostSection
	d.report(inifile.Decode(s, &v)...)
	d.decl.Hosts = append(d.decl.Hosts, structs.Host{Name: s.Name, Zone: v.Zone})
}

func (d *decoder) decodeOrganisation(s *inifile.Section) {
	v := organisationSection{Weight: defaultWeight, BudgetTokens: defaultBudgetTokens, MaxTurns: defaultMaxTurns}
	d.report(inifile.Decode(s, &v)...)
	d.decl.Organisations = append(d.decl.Organisations, structs.Organisation{
		Name:         s.Name,
		Rate:         float64(v.Rate),
		Burst:        v.Burst,
		Weight:       v.Weight,
		BudgetTokens: v.BudgetTokens,
		MaxTurns:     v.MaxTurns,
	})
}

func (d *decoder) decodeModel(s *inifile.Section) {
	v := modelSection{ContextTokens: defaultContextTokens}
	d.report(inifile.Decode(s, &v)...)
	d.decl.Models = append(d.decl.Models, structs.Model{Name: s.Name, ContextTokens: v.ContextTokens})
}

func (d *decoder) decodeService(s *inifile.Section) {
	v := serviceSection{MaxOutputTokens: defaultMaxOutputTokens, Timeout: defaultTimeout, Class: string(structs.ClassInteractive)}
	d.report(inifile.Decode(s, &v)...)
	svc := structs.Service{
		Name:       s.Name,
		Model:      v.Model,
		Deadline:   v.Deadline,
		Prefix:     v.Prefix,
		Repeatable: v.Repeatable,
		Open:       v.Open,
		Timeout:    v.Timeout,
		StatusPath: v.StatusPath,
	}
	if v.Model != "" {
		svc.Class = structs.Class(v.Class)
		svc.MaxOutputTokens = v.MaxOutputTokens
	}
	d.decl.Services = append(d.decl.Services, svc)
}

func (d *decoder) decodeTarget(s *inifile.Section) {
	v := targetSection{Slots: defaultSlots, ColdSlots: defaultColdSlots}
	d.report(inifile.Decode(s, &v)...)
	d.decl.Targets = append(d.decl.Targets, structs.Target{
		Name:          s.Name,
		Host:          v.Host,
		Address:       v.Address,
		Model:         v.Model,
		Service:       v.Service,
		Software:      v.Software,
		Slots:         v.Slots,
		ColdSlots:     v.ColdSlots,
		ChecksFencing: v.ChecksFencing,
	})
}
