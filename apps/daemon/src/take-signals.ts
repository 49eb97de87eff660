/**
 * Must be imported before all other modules. A signal without a handler terminates the process, with all
 * requests that it has read by then. The modules take 0.1 s or more to load, while the process listens already.
 */
import {performance} from 'node:perf_hooks';
import process from 'node:process';

/** The first request to stop. Later ones change nothing. */
export type StopRequest = {
	/** Aborted when a stop is requested. */
	readonly signal: AbortSignal;
	/** When it was requested, on the steady clock. Undefined before. */
	readonly getRequestedAt: () => number | undefined;
};

const controller = new AbortController();
let requestedAt: number | undefined;

const requestStop = (): void => {
	requestedAt ??= performance.now();
	controller.abort();
};

process.on('SIGTERM', requestStop);
process.on('SIGINT', requestStop);
// The settings are read later than the signal.
process.on('SIGHUP', () => {/* no action is needed */});

export const stopRequest: StopRequest = {signal: controller.signal, getRequestedAt: () => requestedAt};
