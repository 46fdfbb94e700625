package load

import (
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/inifile"
)

// Config describes a run.
type Config struct {
	// Entries lists base URLs. With Direct they are model engines, called without figlb.
	Entries []string `ini:"entries"`
	Direct  bool     `ini:"direct"`
	Seed    int64    `ini:"seed"`
	// Duration is the time in which programs arrive; the run ends when they have ended.
	Duration time.Duration `ini:"duration,min=10ms"`
	// RetryFor bounds how long a caller resends one request.
	RetryFor time.Duration `ini:"retry_for,min=0s"`
	// Timeout bounds one attempt, so that an entry that hangs does not stop the run.
	Timeout time.Duration `ini:"timeout,min=10ms"`
	// Executions lists base URLs of order stand-ins that do not share a store.
	Executions []string `ini:"executions"`
	Orgs       []Org
	Kinds      []Kind
}

// Org is an organisation that sends programs.
type Org struct {
	Name string
	Key  string `ini:"key"`
	// Programs is the rate at which its programs arrive.
	Programs inifile.Rate `ini:"programs,required"`
	// Rate (requests per second) and Burst (requests) are its declared limits, used to
	// judge refusals; a Rate of 0 leaves them unjudged.
	Rate  inifile.Rate `ini:"rate"`
	Burst int          `ini:"burst,min=0"`
	// Kinds restricts the kinds of its programs; empty: all.
	Kinds []string `ini:"kinds"`
}

// Kind is a kind of program.
type Kind struct {
	Name string
	// Class is the service class in the report, Service the value of "model".
	Class   string `ini:"class"`
	Service string `ini:"service"`
	// Weight is the share of this kind relative to the others.
	Weight   int `ini:"weight,min=1"`
	MinTurns int `ini:"min_turns,min=1"`
	MaxTurns int `ini:"max_turns,min=1"`
	// FirstTokens, TurnTokens and AnswerTokens are the mean sizes of the first message,
	// of a later message and of an answer.
	FirstTokens  int `ini:"first_tokens,min=1"`
	TurnTokens   int `ini:"turn_tokens,min=1"`
	AnswerTokens int `ini:"answer_tokens,min=6"`
	// Pause is the mean time a tool takes between two turns.
	Pause time.Duration `ini:"pause,min=0s"`
	// SubAgent, Order and Lookup are the probabilities that a turn is followed by a child
	// program, by an order that must not be repeated, and by a catalogue lookup.
	SubAgent   float64 `ini:"sub_agent,min=0"`
	Order      float64 `ini:"order,min=0"`
	Lookup     float64 `ini:"lookup,min=0"`
	OrderPath  string  `ini:"order_path"`
	LookupPath string  `ini:"lookup_path"`
	Stream     bool    `ini:"stream"`
	// FullHistory is the probability that a turn sends the whole history.
	FullHistory  float64 `ini:"full_history,min=0"`
	BudgetTokens int64   `ini:"budget_tokens,min=0"`
}

// Defaults returns a configuration without entries, organisations and kinds.
func Defaults() Config {
	return Config{Seed: 1, Duration: 10 * time.Second, RetryFor: 20 * time.Second, Timeout: 2 * time.Minute}
}

// DefaultKind returns a small interactive program.
func DefaultKind() Kind {
	return Kind{
		Name:         "proof",
		Class:        "interactive",
		Service:      "proof",
		Weight:       1,
		MinTurns:     1,
		MaxTurns:     4,
		FirstTokens:  400,
		TurnTokens:   60,
		AnswerTokens: 40,
		Pause:        50 * time.Millisecond,
		OrderPath:    "/orders",
		LookupPath:   "/catalogue/item",
		Stream:       true,
		FullHistory:  0.1,
	}
}

// ReadFile reads a configuration from an INI file with the sections [load],
// [organisation NAME] and [kind NAME].
func ReadFile(path string) (Config, error) {
	c := Defaults()
	sections, ps, err := inifile.Load(path)
	if err != nil {
		return c, err
	}
	for _, s := range sections {
		switch s.Kind {
		case "load":
			ps = append(ps, inifile.Decode(s, &c)...)
		case "organisation":
			o := Org{Name: s.Name}
			ps = append(ps, inifile.Decode(s, &o)...)
			c.Orgs = append(c.Orgs, o)
		case "kind":
			k := DefaultKind()
			k.Name = s.Name
			ps = append(ps, inifile.Decode(s, &k)...)
			c.Kinds = append(c.Kinds, k)
		default:
			ps = append(ps, s.Problem("", "section is unknown", "use [load], [organisation NAME] and [kind NAME]"))
		}
	}
	return c, ps.Err()
}

// check completes a configuration and returns what is wrong with it.
func (c *Config) check() error {
	if len(c.Entries) == 0 {
		return errors.New("no entries; give their base URLs")
	}
	if len(c.Orgs) == 0 {
		return errors.New("no organisations; give at least one with its key and its rate of programs")
	}
	if len(c.Kinds) == 0 {
		c.Kinds = []Kind{DefaultKind()}
	}
	for _, k := range c.Kinds {
		if k.MaxTurns < k.MinTurns {
			return errors.Errorf("kind %s: max_turns is below min_turns; raise it", k.Name)
		}
	}
	for _, o := range c.Orgs {
		if len(o.kinds(c.Kinds)) == 0 {
			return errors.Errorf("organisation %s has no kind of program; name one that exists", o.Name)
		}
	}
	return nil
}

// kinds returns the kinds of program the organisation sends.
func (o Org) kinds(all []Kind) []Kind {
	if len(o.Kinds) == 0 {
		return all
	}
	var out []Kind
	for _, k := range all {
		for _, name := range o.Kinds {
			if k.Name == name {
				out = append(out, k)
			}
		}
	}
	return out
}
