package residency

import (
	"fmt"
	"strings"

	"railrelay.dev/railrelay/internal/fleet"
)

// Conflict tells that rules leave no site for a query.
type Conflict struct {
	Role  string // engine or controller
	Team  string
	Rules []string
}

func (c *Conflict) Error() string {
	return fmt.Sprintf("rules %s of team %q have no %s site in common", strings.Join(c.Rules, " and "), c.Team, c.Role)
}

// Remedy says what an operator can do.
func (c *Conflict) Remedy() string {
	return "split the query, or give these rules a site in common with `fleet apply`"
}

// Outside tells that this controller is outside the boundary of a query.
type Outside struct {
	Team, Site string
	Rules      []string
	// Controllers are the addresses of those that may take it.
	Controllers []string
}

func (o *Outside) Error() string {
	return fmt.Sprintf("a controller at site %q is outside rule %s of team %q", o.Site, strings.Join(o.Rules, ", "), o.Team)
}

// Remedy says what an operator can do.
func (o *Outside) Remedy() string {
	if len(o.Controllers) == 0 {
		return "start a controller inside: none is known that may take this team's queries"
	}
	return "send this team's queries to " + strings.Join(o.Controllers, ", ")
}

// Untold tells that the tables of a load can't be found out, and a rule follows what it
// would take along.
type Untold struct{ Team, Rule string }

func (u *Untold) Error() string {
	return fmt.Sprintf("which tables this load reads and writes can't be told, and rule %s of team %q follows data", u.Rule, u.Team)
}

// Remedy says what an operator can do.
func (u *Untold) Remedy() string {
	return "write each table with its schema's name, as in sales_3.orders, or bind all tables of the team"
}

// Unbound tells that what a load binds could not be recorded before it had to be sent.
type Unbound struct {
	Team   string
	Tables []int64
	Reason string
}

func (u *Unbound) Error() string {
	return fmt.Sprintf("that tables %v of team %q are bound is not in the record: %s", u.Tables, u.Team, u.Reason)
}

// Remedy says what an operator can do.
func (u *Unbound) Remedy() string {
	return "see `fleet status`: without a majority of the voters nothing can be recorded"
}

// Flaw is what is wrong with a rule by itself or beside the others.
type Flaw struct {
	RuleIndex int    // its place
	Field     string // in the set-up's words, with a place in a list
	Reason    string
}

func (f *Flaw) Error() string {
	return fmt.Sprintf("placement[%d].%s: %s", f.RuleIndex, f.Field, f.Reason)
}

// Remedy says what an operator can do.
func (f *Flaw) Remedy() string { return "mend the rule in the file: nothing of it was taken over" }

// Errors is one sample of each error of this package.
func Errors() []fleet.ErrorWithRemedy {
	return []fleet.ErrorWithRemedy{
		&Conflict{"engine", "bank", []string{"swiss", "austrian"}},
		&Outside{"bank", "linz", []string{"swiss"}, []string{"10.0.0.1:6565"}},
		&Untold{"bank", "swiss"},
		&Unbound{"bank", []int64{4}, "no answer in time"},
		&Flaw{0, "engines[0]", `no location is called "zurich"`},
	}
}
