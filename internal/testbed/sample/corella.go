package sample

import "guavapaddle/core/config"

// Corella returns the configuration of Corella Rail Systems. Deadline attainment
// matters more than the number of moves, so that the price of a move is low.
func Corella() *config.Document {
	f := layout{
		name: "corella", network: 1,
		dataCentres: []string{"dc-1", "dc-2", "dc-3", "dc-4"},
		engines:     12, orderChecking: 8, stepMS: 7,
		service: "bookings", servers: 4,
	}
	doc := &config.Document{
		Deployment: f.name,
		Kinds: []config.Kind{
			{Name: "live-desk", Urgency: config.Urgent, Value: 10, DeadlineMS: 15_000, Repeatable: true},
			{Name: "conflict-summary", Urgency: config.Normal, Value: 4, DeadlineMS: 60_000, Repeatable: true},
			{Name: "overnight-draft", Urgency: config.Deferrable, Value: 1, DeadlineMS: 8 * 3_600_000, Repeatable: true},
			{Name: "booking-confirm", Urgency: config.Urgent, Value: 20, DeadlineMS: 10_000},
			{Name: "booking-cancel", Urgency: config.Urgent, Value: 20, DeadlineMS: 10_000},
			{Name: "booking-read", Urgency: config.Normal, Value: 5, DeadlineMS: 10_000, Repeatable: true},
		},
		Models: models("plan-drafter", 20, 6, [3]int64{8 * gigabyte, 16 * gigabyte, 30 * gigabyte}),
		Services: []config.PlainService{{
			Name: f.service, Path: "/bookings/",
			Calls: []config.Call{
				{Method: "POST", Path: "confirm", Kind: "booking-confirm"},
				{Method: "POST", Path: "cancel", Kind: "booking-cancel"},
				{Method: "GET", Path: "", Kind: "booking-read"},
			},
		}},
		Servers:   f.backendServers(),
		Limits:    config.DefaultLimits(),
		Placement: config.Placement{MovePrice: 0.5, MinResidenceMS: 30_000, PeriodMS: 1000},
	}
	doc.Limits.WeightLoads, doc.Limits.WeightLoadsRate = 7, 2
	doc.Adapters = adapters("crew-style", 80, doc.Models)
	doc.Teams = corellaTeams(doc)
	return doc
}

func corellaTeams(doc *config.Document) []config.Team {
	names := []string{"shire-north", "shire-south", "ballast-contractors", "signal-contractors", "bridge-crew", "track-crew-east", "track-crew-west"}
	var list []config.Team
	for i, name := range names {
		list = append(list, config.Team{
			Name:        name,
			KeyHashes:   []string{KeyHash(Key(name))},
			Models:      assignedNames(doc, i, len(names)),
			Services:    []string{"bookings"},
			Kinds:       []string{"live-desk", "conflict-summary", "overnight-draft", "booking-confirm", "booking-cancel", "booking-read"},
			DefaultKind: "live-desk",
			Weight:      1,
		})
	}
	return append(list, config.Team{
		Name:        "network-control",
		KeyHashes:   []string{KeyHash(Key("network-control")), KeyHash(Key("network-control-next"))},
		Models:      []string{config.AnyName},
		Services:    []string{"bookings"},
		Kinds:       []string{"live-desk", "conflict-summary", "booking-cancel", "booking-read"},
		DefaultKind: "conflict-summary",
		Weight:      4,
	})
}
