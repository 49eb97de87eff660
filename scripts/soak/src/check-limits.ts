/** Checks that backend servers got no more calls than the limits that they stated allow. */
import {findLimitViolation} from '@shallotpass/core/testing/find-limit-violation.js';
import {type History} from './history.js';

/** Time after the disturbance of a link in which calls that it held up may still arrive. */
const heldUpMs = 1000;

/** Returns a description of the worst violation of each span in which a backend server stated a limit. */
export const findLimitViolations = (history: History, isDisturbed: (daemon: string, at: number) => boolean): string[] => {
	const daemonsById = new Map([...history.calls, ...history.limitedCalls].map(({id, daemon}) => [id, daemon]));
	return history.limits.flatMap(span => {
		const isHeldUp = (at: number): boolean => history.linkDisturbances.some(({backend, from, until}) => backend === span.backend && at >= from && at <= until + heldUpMs);
		const calls = history.arrivals
			.filter(({backend, at}) => backend === span.backend && at >= span.from && at < span.until)
			.map(({id, at}) => ({at, daemon: daemonsById.get(id) ?? ''}))
			.toSorted((left, right) => left.at - right.at);
		const violation = findLimitViolation({spans: [span], calls, isExcused: ({daemon, at}) => isDisturbed(daemon, at) || isHeldUp(at)});
		return violation === undefined
			? []
			: [`${span.backend} stated a limit of ${span.perSecond} a second and got ${violation.calls} calls in 4 s, allowed ${violation.allowed.toFixed(1)}`];
	});
};
