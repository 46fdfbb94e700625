package load

import (
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/inifile"
)

// Config configures a load run.
type Config struct {
	// Entries lists the base URLs of the entries. If Direct is set, they are the base URLs
	// of model engines, which are called without going through figlb.
	Entries []string `ini:"entries"`
	Direct  bool     `ini:"direct"`
	Seed    int64    `ini:"seed"`
	// Duration is the time during which new programs are started. The run ends when all
	// of them have ended.
	Duration time.Duration `ini:"duration,min=10ms"`
	// RetryFor bounds the time during which a caller retries one request.
	RetryFor time.Duration `ini:"retry_for,min=0s"`
	// Timeout bounds one attempt, so that an entry that hangs does not block the run.
	Timeout time.Duration `ini:"timeout,min=10ms"`
	// Executions lists the base URLs of the stand-in order services whose executions are
	// added up. They must not share a store, or executions would be counted twice.
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
	// Rate (requests per second) and Burst (requests) are the organisation's declared
	// limits. They determine whether a refusal was justified and whether too many requests
	// were admitted; a Rate of 0 disables both checks.
	Rate  inifile.Rate `ini:"rate"`
	Burst int          `ini:"burst,min=0"`
	// Kinds names the kinds of programs that the organisation sends; empty means all.
	Kinds []string `ini:"kinds"`
}

// Kind is a kind of program.
type Kind struct {
	Name string
	// Class is the service class under which results are reported. Service is the service
	// of the program and the value of "model" in chat requests.
	Class   string `ini:"class"`
	Service string `ini:"service"`
	// Weight is the share of this kind relative to the weights of the other kinds.
	Weight   int `ini:"weight,min=1"`
	MinTurns int `ini:"min_turns,min=1"`
	MaxTurns int `ini:"max_turns,min=1"`
	// FirstTokens, TurnTokens and AnswerTokens are the mean sizes of the first message,
	// of a later message and of an answer.
	FirstTokens  int `ini:"first_tokens,min=1"`
	TurnTokens   int `ini:"turn_tokens,min=1"`
	AnswerTokens int `ini:"answer_tokens,min=6"`
	// Pause is the mean time between two turns, which stands for the execution of a tool.
	Pause time.Duration `ini:"pause,min=0s"`
	// SubAgent, Order and Lookup are the probabilities that a turn is followed by a child
	// program, by an order that must be executed at most once, and by a catalogue lookup.
	SubAgent   float64 `ini:"sub_agent,min=0"`
	Order      float64 `ini:"order,min=0"`
	Lookup     float64 `ini:"lookup,min=0"`
	OrderPath  string  `ini:"order_path"`
	LookupPath string  `ini:"lookup_path"`
	Stream     bool    `ini:"stream"`
	// FullHistory is the probability that a turn sends the whole message history instead
	// of only the new message.
	FullHistory  float64 `ini:"full_history,min=0"`
	BudgetTokens int64   `ini:"budget_tokens,min=0"`
}

// DefaultConfig returns a configuration without entries, organisations and kinds.
func DefaultConfig() Config {
	return Config{Seed: 1, Duration: 10 * time.Second, RetryFor: 20 * time.Second, Timeout: 2 * time.Minute}
}

// DefaultKind returns the kind of a small interactive program.
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
	c := DefaultConfig()
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

// check adds the default kind if no kind is configured, and validates the configuration.
func (c *Config) check() error {
	if len(c.Entries) == 0 {
		return errors.New("no entries; give their base URLs")
	}
	if len(c.Orgs) == 0 {
		return errors.New("no organisations; configure at least one with its key and its rate of programs")
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
			return errors.Errorf("organisation %s has no known kind of program; name a configured kind", o.Name)
		}
	}
	return nil
}

// kinds returns the kinds of programs that the organisation sends.
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
