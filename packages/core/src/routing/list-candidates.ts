import {type BackendView, type RoutedCall} from './types.js';

/** Backend servers that may take the call now; those that failed of late only when there is no other. */
export const listCandidates = (call: RoutedCall, backends: readonly BackendView[]): BackendView[] => {
	const healthy: BackendView[] = [];
	const others: BackendView[] = [];
	for (const backend of backends) {
		if (backend.isLeaving || call.excluded.has(backend.id) || !backend.services.includes(call.service)) {
			continue;
		}

		(backend.avoidUntil <= call.now ? healthy : others).push(backend);
	}

	return healthy.length > 0 ? healthy : others;
};
