import {type BackendView, type RoutedCall} from './types.js';

/** Backend servers that may take the call now; those that failed of late only when there is no other. */
export const listCandidates = (call: RoutedCall, backends: readonly BackendView[]): BackendView[] => {
	const serving = backends.filter(backend =>
		!backend.isLeaving
		&& !call.excluded.has(backend.id)
		&& backend.services.includes(call.service));
	const healthy = serving.filter(backend => backend.avoidUntil <= call.now);
	return healthy.length > 0 ? healthy : serving;
};
