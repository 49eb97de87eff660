/** Counts how often brittle backend servers fell over because daemons sent them calls for which they had no room. */
import {type BackendArrival, type BrittleSpan, type History} from './history.js';

/** Length of the window in which a backend server counts rejections. */
const windowMs = 1000;

/** Falls that are allowed in one span, and more for each backend server, as the users' rules state them. */
const allowedFalls = 2;
const allowedFallsPerBackend = 0.1;

const countBetween = (rejections: readonly BackendArrival[], after: number, until: number): number => rejections.filter(({at}) => at > after && at <= until).length;

/** Counts the falls of one backend server. It is back later than a window after a fall. */
const countFalls = (rejections: readonly BackendArrival[], allowed: number): number => {
	let falls = 0;
	let countedFrom = Number.NEGATIVE_INFINITY;
	for (const {at} of rejections) {
		if (countBetween(rejections, Math.max(countedFrom, at - windowMs), at) > allowed) {
			falls++;
			countedFrom = at;
		}
	}

	return falls;
};

const findBrittleViolation = (history: History, span: BrittleSpan, isDisturbed: (daemon: string, at: number) => boolean): string | undefined => {
	const daemonsById = new Map([...history.calls, ...history.limitedCalls].map(({id, daemon}) => [id, daemon]));
	const counted = history.rejections.filter(({backend, id, at}) => span.backends.includes(backend) && at >= span.from && at < span.until && !isDisturbed(daemonsById.get(id) ?? '', at));
	const falls = span.backends.reduce((sum, backend) => sum + countFalls(counted.filter(rejection => rejection.backend === backend), span.rejections), 0);
	return falls > allowedFalls + (span.backends.length * allowedFallsPerBackend)
		? `${span.backends.join(', ')} fell over ${falls} times while they could turn away ${span.rejections} calls in a second`
		: undefined;
};

export const findBrittleViolations = (history: History, isDisturbed: (daemon: string, at: number) => boolean): string[] => history.brittleSpans
	.map(span => findBrittleViolation(history, span, isDisturbed))
	.filter(violation => violation !== undefined);
