package residency

import (
	"fmt"
	"strings"

	"railrelay.dev/railrelay/internal/fleet"
)

// Conflict means that the rules for a query have no engine site, or no controller site, in common.
type Conflict struct {
	Role  string // engine or controller
	Team  string
	Rules []string
}

func (c *Conflict) Error() string {
	return fmt.Sprintf("rules %s of team %q have no %s site in common", strings.Join(c.Rules, " and "), c.Team,
		c.Role)
}

// Remedy tells an operator how to resolve the error.
func (c *Conflict) Remedy() string {
	return "split the query, or give these rules a site in common with `fleet apply`"
}

// Outside means that a rule doesn't allow this controller to serve a query.
type Outside struct {
	Team, Site string
	Rules      []string
	// Controllers are the addresses of controllers that may serve the query.
	Controllers []string
}

func (o *Outside) Error() string {
	return fmt.Sprintf("a controller at site %q is not allowed by rule %s of team %q", o.Site,
		strings.Join(o.Rules, ", "), o.Team)
}

// Remedy tells an operator how to resolve the error.
func (o *Outside) Remedy() string {
	if len(o.Controllers) == 0 {
		return "start a controller at an allowed site: no known controller may serve this team's queries"
	}
	return "send this team's queries to " + strings.Join(o.Controllers, ", ")
}

// Untold means that the tables of a load can't be determined although a rule follows loads, so that
// it is unknown which tables the rule would have to bind.
type Untold struct{ Team, Rule string }

func (u *Untold) Error() string {
	return fmt.Sprintf("the tables that this load reads and writes can't be determined, "+
		"and rule %s of team %q follows loads", u.Rule, u.Team)
}

// Remedy tells an operator how to resolve the error.
func (u *Untold) Remedy() string {
	return "write each table with its schema's name, as in sales_3.orders, or bind all tables of the team"
}

// Unbound means that the binding of a load could not be logged before the load had to be sent.
type Unbound struct {
	Team   string
	Tables []int64
	Reason string
}

func (u *Unbound) Error() string {
	return fmt.Sprintf("the log has no binding of tables %v of team %q: %s", u.Tables, u.Team, u.Reason)
}

// Remedy tells an operator how to resolve the error.
func (u *Unbound) Remedy() string {
	return "see `fleet status`: without a majority of the voters nothing can be recorded"
}

// Flaw is an error in a rule, or a conflict of a rule with others.
type Flaw struct {
	RuleIndex int    // index in the list of rules
	Field     string // as the settings name it, with the index in a list
	Reason    string
}

func (f *Flaw) Error() string {
	return fmt.Sprintf("placement[%d].%s: %s", f.RuleIndex, f.Field, f.Reason)
}

// Remedy tells an operator how to resolve the error.
func (f *Flaw) Remedy() string {
	return "correct the rule in the file: no part of the file was applied"
}

// Errors returns one sample of each error type of this package.
func Errors() []fleet.ErrorWithRemedy {
	return []fleet.ErrorWithRemedy{
		&Conflict{"engine", "bank", []string{"swiss", "austrian"}},
		&Outside{"bank", "linz", []string{"swiss"}, []string{"10.0.0.1:6565"}},
		&Untold{"bank", "swiss"},
		&Unbound{"bank", []int64{4}, "no answer in time"},
		&Flaw{0, "engines[0]", `no location is called "zurich"`},
	}
}
