/** Listens to a signal that outlives what listens to it. */

/**
 * Calls `listener` once the signal is aborted, or at once if it is. Returns a function that takes the listener off. Node.js 20 may
 * forget to take off a listener that was added with a signal of its own; what the listener holds would stay as long as `signal`.
 */
export const listenForAbort = (signal: AbortSignal, listener: () => void): (() => void) => {
	if (signal.aborted) {
		listener();
		return () => {/* Nothing listens. */};
	}

	signal.addEventListener('abort', listener, {once: true});
	return () => {
		signal.removeEventListener('abort', listener);
	};
};
