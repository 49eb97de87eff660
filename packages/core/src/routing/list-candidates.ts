import {type BackendView, type RoutedCall} from './types.js';

/** Whether the backend server serves the call's service, is not leaving and is not excluded because of an earlier attempt. */
export const isCandidate = (call: RoutedCall, backend: BackendView): boolean =>
	!backend.isLeaving && !call.excluded.has(backend.id) && backend.services.includes(call.service);

/** Lists the backend servers that can take the call now. Those with recent connection failures are listed only if there are no others. */
export const listCandidates = (call: RoutedCall, backends: readonly BackendView[]): BackendView[] => {
	const healthy: BackendView[] = [];
	const avoided: BackendView[] = [];
	for (const backend of backends) {
		if (isCandidate(call, backend)) {
			(backend.avoidUntil <= call.now ? healthy : avoided).push(backend);
		}
	}

	return healthy.length > 0 ? healthy : avoided;
};
