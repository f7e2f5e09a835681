/**
 * Scripted scenarios ("days" in their own language): a fleet, its load, and what happens to it over
 * time. {@link sorrelhoist.lab.scenario.ScenarioParser} reads them from text; a {@link
 * sorrelhoist.lab.scenario.Scenario} is immutable.
 */
package sorrelhoist.lab.scenario;
