import assert from 'node:assert/strict';
import test from 'node:test';
import {
	getRouteResults, mergeResultsByService, recordSend, subtractResultsByService, emptyResults,
} from '../rollouts/record-result.js';
import {mergeRollouts} from '../rollouts/merge-rollouts.js';
import {mergeBrittlenesses} from '../limits/reported-brittleness.js';
import {mergeLimits} from '../limits/reported-limits.js';
import {mergeUnsoundness} from '../retries/unsoundness.js';
import {readRecordedSlots} from '../quotas/recorded-spending.js';
import {
	mergeUsage, recordStart, sumWindow, type UsageTally,
} from '../usage/count-starts.js';
import {
	type GossipReport, subtractReport, sumReports, sumZones,
} from './gossip-report.js';

const rollout = {
	service: 's', toVersion: 'v2', offset: 1, orderedAt: 1, deadline: 2, stage: 'trial', share: 0, revision: 0, withheldVersions: [], confirmedAt: 1, stageAt: 1,
} as const;

/** Record with one key, whatever its name. */
const makeRecord = <Value>(name: string, value: Value): Record<string, Value> => Object.fromEntries([[name, value]]);

const makeReport = (name: string): GossipReport => ({
	id: 'd', incarnation: 'i', address: '10.0.0.1:80', availabilityZone: name, linkMbps: 100, daemons: 1, silentDaemons: 0,
	known: {
		configurationVersion: 1, configurationAgeMs: 0, directoryNext: 0, directoryDigest: '', directoryAgeMs: 0, members: 1,
	},
	demands: makeRecord(name, 2), spent: makeRecord(name, [1, 2]), loads: makeRecord(name, [1, 0]), usage: makeRecord('7', makeRecord(name, makeRecord(name, 3))),
	work: makeRecord(name, 1), longWork: makeRecord(name, 1), leaseOffset: -1, trueTime: 1, crashes: {}, crashEvidence: {entries: [], refuted: []},
	limits: makeRecord(name, [1, 1, 1]), participants: makeRecord(name, [['d', 'a', 1]]), brittle: makeRecord(name, [1, 1, 1, 1]), unsound: makeRecord(name, [1, 1, 1]),
	rollouts: makeRecord(name, {...rollout, withheldVersions: []}),
	rolloutResults: makeRecord(name, recordSend(emptyResults(1), {route: name, isNew: true})),
});

/** Merges reports that name one thing with others that name none, and with themselves. */
const mergeAll = (name: string): unknown => {
	const report = makeReport(name);
	const other = {...makeReport('other'), incarnation: 'j'};
	const sum = sumReports(other, [report, report], [report]);
	const total = sumZones(sum, [report, other], [report]);
	const tally: UsageTally = new Map();
	recordStart(tally, name, 7);
	const usage = mergeUsage(mergeUsage({}, report.usage), report.usage);
	const results = mergeResultsByService({}, report.rolloutResults!);
	return [
		sum,
		total,
		subtractReport(total, report),
		subtractReport(report, other),
		[...tally],
		usage,
		sumWindow(usage['7']!),
		mergeRollouts({}, report.rollouts!),
		mergeLimits({}, report.limits),
		mergeBrittlenesses({}, report.brittle),
		mergeUnsoundness({}, report.unsound),
		results,
		subtractResultsByService(results, {}),
		getRouteResults(emptyResults(1), name),
		[...readRecordedSlots({at: 0, accounts: {}, expectedMs: 1}, name, {windowMs: 1000, endedBy: 0})],
	];
};

const toText = (value: unknown, name: string): string => JSON.stringify(value).replaceAll(name, 'plain');

for (const name of ['__proto__', 'constructor', 'toString', 'hasOwnProperty', 'valueOf']) {
	test(`what is named ${name} is merged like anything else`, () => {
		// Objects have such fields by themselves, so that sums became no numbers, and merges threw.
		assert.equal(toText(mergeAll(name), name), toText(mergeAll('plain'), 'plain'));
	});
}
