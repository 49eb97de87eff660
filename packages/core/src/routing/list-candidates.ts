import {type BackendView, type RoutedCall} from './types.js';

/** Whether the backend server serves the call, stays, and was not tried for it. */
export const isCandidate = (call: RoutedCall, backend: BackendView): boolean =>
	!backend.isLeaving && !call.excluded.has(backend.id) && backend.services.includes(call.service);

/** Backend servers that may take the call now; those that failed of late only when there is no other. */
export const listCandidates = (call: RoutedCall, backends: readonly BackendView[]): BackendView[] => {
	const healthy: BackendView[] = [];
	const others: BackendView[] = [];
	for (const backend of backends) {
		if (isCandidate(call, backend)) {
			(backend.avoidUntil <= call.now ? healthy : others).push(backend);
		}
	}

	return healthy.length > 0 ? healthy : others;
};
