/** What clients of a gateway daemon may make it hold, from its settings and its process. */
import {readFileSync} from 'node:fs';
import {getHeapStatistics} from 'node:v8';
import {type ClientLimits, computeClientLimits} from '@shallotpass/common/client-limits/client-limits.js';
import {type GatewaySettings} from './gateway-settings.js';

/** Descriptors that a process may usually have open, where the system does not tell. */
const usualOpenFiles = 1024;

const readOpenFileLimit = (): number => {
	try {
		const limit = /^Max open files\s+(?<soft>\d+)/mv.exec(readFileSync('/proc/self/limits', 'utf8'))?.groups?.soft;
		return limit === undefined ? usualOpenFiles : Number(limit);
	} catch {
		// Other systems have no such file.
		return usualOpenFiles;
	}
};

export const readClientLimits = ({memoryMb, maxOpenFiles}: Partial<Pick<GatewaySettings['instance'], 'memoryMb' | 'maxOpenFiles'>>): ClientLimits => computeClientLimits({
	memoryMb,
	// What is stated goes first: a platform may provide sockets that the limit of the process does not count.
	maxOpenFiles: maxOpenFiles ?? readOpenFileLimit(),
	heapBytes: getHeapStatistics().heap_size_limit,
});
