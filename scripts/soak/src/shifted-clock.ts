/**
 * Preloaded into a daemon to simulate clock steps. On SIGUSR2 it shifts `Date.now` by the offset in
 * milliseconds read from the file named by SHIFTED_CLOCK_FILE.
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';

const offsetPath = process.env.SHIFTED_CLOCK_FILE;
const getSystemTimeMs = Date.now.bind(Date);
let offsetMs = 0;
Date.now = () => getSystemTimeMs() + offsetMs;
process.on('SIGUSR2', () => {
	offsetMs = offsetPath === undefined ? 0 : Number(readFileSync(offsetPath, 'utf8'));
});
