package controller

import (
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/scheduler"
)

const (
	// reportRetryInterval is the delay before reports are resent that the fleet's full queue rejected.
	reportRetryInterval = 10 * time.Millisecond
	// sitesReportInterval is the interval of the reports on which sites have serving engines.
	sitesReportInterval = time.Second
)

// report sends a report to the fleet, or queues the report behind those that were rejected.
func (l *servingLease) report(r fleet.Report) {
	switch {
	case len(l.unsentReports) == 0:
		l.emit(Effect{Kind: ReportToFleet, Report: &r})
	case r.Kind != fleet.SitesServing: // reports of sites are repeated periodically
		l.unsentReports = append(l.unsentReports, r)
	}
}

// reportRejected schedules a retry of a report that was rejected because the queue to the fleet was full.
func (l *servingLease) reportRejected(r *fleet.Report) {
	if r.Kind == fleet.SitesServing {
		return
	}
	l.unsentReports = append(l.unsentReports, *r)
	if !l.reportRetryScheduled {
		l.reportRetryScheduled = true
		l.runAfter(reportRetryInterval, l.resendReports)
	}
}

func (l *servingLease) resendReports() {
	unsent := l.unsentReports
	l.unsentReports = nil
	l.reportRetryScheduled = false
	for _, r := range unsent {
		l.report(r)
	}
}

// reportSitesPeriodically reports every sitesReportInterval which sites have active engines.
func (l *servingLease) reportSitesPeriodically() {
	l.runAfter(sitesReportInterval, l.reportSitesPeriodically)
	l.reportedSites = l.servingSites()
	l.reportSites(l.reportedSites)
}

// endpointsChanged reports the serving sites at once if they changed with the endpoint list.
func (l *servingLease) endpointsChanged() {
	sites := l.servingSites()
	if !slices.Equal(sites, l.reportedSites) {
		l.reportedSites = sites
		l.reportSites(sites)
	}
}

func (l *servingLease) reportSites(sites []string) {
	l.report(fleet.Report{Kind: fleet.SitesServing, ServingSites: sites,
		AttemptsOutside: l.residency.countOutside()})
}

// servingSites returns the locations that have active engines, in the order of the settings.
func (l *servingLease) servingSites() (sites []string) {
	hasActive := map[int]bool{}
	for _, e := range l.engines {
		if e.state == scheduler.EngineActive {
			hasActive[e.location] = true
		}
	}
	for i, name := range strings.Split(l.Settings["locations"], ",") {
		if hasActive[i] {
			sites = append(sites, name)
		}
	}
	return sites
}
