/**
 * Preloaded into a daemon to simulate a clock that is wrong from its start on, and clock steps. `Date.now` is shifted by the offset in
 * milliseconds that stands in the file named by SHIFTED_CLOCK_FILE, which is read at the start and on each SIGUSR2.
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';

const offsetPath = process.env.SHIFTED_CLOCK_FILE;
const getSystemTimeMs = Date.now.bind(Date);
const readOffsetMs = (): number => offsetPath === undefined ? 0 : Number(readFileSync(offsetPath, 'utf8'));
let offsetMs = readOffsetMs();
Date.now = () => getSystemTimeMs() + offsetMs;
process.on('SIGUSR2', () => {
	offsetMs = readOffsetMs();
});
