/** Reports rollouts and their results to other daemons, and sums the results that daemons report. */
import {getOwn} from '@shallotpass/common/records.js';
import {type GossipReport} from '@shallotpass/core/gossip/gossip-report.js';
import {emptyResults, mergeResults} from '@shallotpass/core/rollouts/record-result.js';
import {isEnded} from '@shallotpass/core/rollouts/is-ended.js';
import {type Rollout, type RolloutResults} from '@shallotpass/core/rollouts/types.js';
import {type GatewayState} from '../gateway-state.js';

/** Time for which an ended rollout is in every report. Later it is reported only together with the verdicts, for daemons that have started since. */
const endedReportMs = 30_000;

/** Returns the rollouts and results to report. `includesEnded`: whether rollouts are included that ended more than `endedReportMs` ago. */
export const reportRollouts = ({rollouts: {byService, results}, clocks}: GatewayState, includesEnded: boolean): Pick<GossipReport, 'rollouts' | 'rolloutResults'> => {
	const now = clocks.trueTime();
	const reported = [...byService].filter(([, rollout]) => includesEnded || !isEnded(rollout) || now < rollout.stageAt + endedReportMs);
	if (reported.length === 0) {
		return {};
	}

	const running = reported.filter(([, rollout]) => !isEnded(rollout));
	return {
		rollouts: Object.fromEntries(reported),
		rolloutResults: Object.fromEntries(running.flatMap(([service]) => {
			const known = results.get(service);
			return known === undefined ? [] : [[service, known]];
		})),
	};
};

/** Sums the results of all daemons, also of those that ended so lately that their reports are still kept. */
export const sumResults = ({rollouts, peers}: GatewayState, {service, offset}: Rollout): RolloutResults => {
	const reports = [rollouts.results.get(service), ...[...peers.values()].map(({rolloutResults}) => getOwn(rolloutResults, service))];
	let sum = emptyResults(offset);
	for (const results of reports) {
		if (results?.offset === offset) {
			sum = mergeResults(sum, results);
		}
	}

	return sum;
};
