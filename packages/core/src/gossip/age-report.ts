/** Adds the time that a gossip report was under way to the ages that it states. */
import {type GossipReport, type StoreVersions} from './gossip-report.js';

/** Delays up to this are ignored, in milliseconds. Daemons correct their true time only beyond 150 ms, so two of them may differ by twice that. */
const toleratedDelayMs = 300;

type VersionAges = Pick<StoreVersions, 'configurationAgeMs' | 'directoryAgeMs' | 'storeAnswerAgeMs'>;

/** Adds a time to the ages. */
export const ageVersions = <Versions extends VersionAges>(known: Versions, ms: number): Versions => ({
	...known,
	configurationAgeMs: known.configurationAgeMs + ms,
	directoryAgeMs: known.directoryAgeMs + ms,
	storeAnswerAgeMs: known.storeAnswerAgeMs === undefined ? undefined : known.storeAnswerAgeMs + ms,
});

/**
 * Returns the report as of the given true time, at which it was received. A report that waited in a full link or for a
 * busy or suspended process would otherwise confirm old data as up to date.
 */
export const ageReport = (report: GossipReport, trueTime: number): GossipReport => {
	const delayMs = trueTime - report.trueTime;
	return delayMs > toleratedDelayMs ? {...report, known: ageVersions(report.known, delayMs)} : report;
};
