package residency

import (
	"fmt"
	"strings"

	"railrelay.dev/railrelay/internal/fleet"
)

// NoCommonSiteError means that the rules for a query have no engine site, or no controller site, in
// common.
type NoCommonSiteError struct {
	Role   string // engine or controller
	Tenant string
	Rules  []string
}

func (e *NoCommonSiteError) Error() string {
	return fmt.Sprintf("rules %s of team %q have no %s site in common", strings.Join(e.Rules, " and "), e.Tenant,
		e.Role)
}

// Remedy tells an operator how to resolve the error.
func (e *NoCommonSiteError) Remedy() string {
	return "split the query, or give these rules a site in common with `fleet apply`"
}

// ControllerNotAllowedError means that a rule doesn't allow this controller to serve a query.
type ControllerNotAllowedError struct {
	Tenant, Site string
	Rules        []string
	// AllowedControllers are the addresses of controllers that may serve the query.
	AllowedControllers []string
}

func (e *ControllerNotAllowedError) Error() string {
	return fmt.Sprintf("a controller at site %q is not allowed by rule %s of team %q", e.Site,
		strings.Join(e.Rules, ", "), e.Tenant)
}

// Remedy tells an operator how to resolve the error.
func (e *ControllerNotAllowedError) Remedy() string {
	if len(e.AllowedControllers) == 0 {
		return "start a controller at an allowed site: no known controller may serve this team's queries"
	}
	return "send this team's queries to " + strings.Join(e.AllowedControllers, ", ")
}

// UnknownTablesError means that the tables of a load can't be determined although a rule follows loads,
// which means that the rule also binds each table that a load fills from one of its tables. It is then
// unknown which tables the rule has to bind.
type UnknownTablesError struct{ Tenant, Rule string }

func (e *UnknownTablesError) Error() string {
	return fmt.Sprintf("the tables that this load reads and writes can't be determined, "+
		"and rule %s of team %q follows loads", e.Rule, e.Tenant)
}

// Remedy tells an operator how to resolve the error.
func (e *UnknownTablesError) Remedy() string {
	return "write each table with its schema's name, as in sales_3.orders, or bind all tables of the team"
}

// BindingNotLoggedError means that the binding of a load could not be logged before the load had to be sent.
type BindingNotLoggedError struct {
	Tenant string
	Tables []int64 // table groups
	Reason string
}

func (e *BindingNotLoggedError) Error() string {
	return fmt.Sprintf("the log has no binding of tables %v of team %q: %s", e.Tables, e.Tenant, e.Reason)
}

// Remedy tells an operator how to resolve the error.
func (e *BindingNotLoggedError) Remedy() string {
	return "see `fleet status`: without a majority of the voters nothing can be recorded"
}

// InvalidRuleError is an error in a rule, or a conflict of a rule with others.
type InvalidRuleError struct {
	RuleIndex int    // index in the list of rules
	Field     string // as the settings name it, with the index in a list
	Reason    string
}

func (e *InvalidRuleError) Error() string {
	return fmt.Sprintf("placement[%d].%s: %s", e.RuleIndex, e.Field, e.Reason)
}

// Remedy tells an operator how to resolve the error.
func (e *InvalidRuleError) Remedy() string {
	return "correct the rule in the file: no part of the file was applied"
}

// Errors returns one sample of each error type of this package.
func Errors() []fleet.ErrorWithRemedy {
	return []fleet.ErrorWithRemedy{
		&NoCommonSiteError{"engine", "bank", []string{"swiss", "austrian"}},
		&ControllerNotAllowedError{"bank", "linz", []string{"swiss"}, []string{"10.0.0.1:6565"}},
		&UnknownTablesError{"bank", "swiss"},
		&BindingNotLoggedError{"bank", []int64{4}, "no answer in time"},
		&InvalidRuleError{0, "engines[0]", `no location is called "zurich"`},
	}
}
