/**
 * Loaded into a daemon before its own code: on SIGUSR2 its time of day jumps to the offset, in
 * milliseconds, that stands in the file named by SHIFTED_CLOCK_FILE, as a time service does.
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';

const path = process.env.SHIFTED_CLOCK_FILE;
const readTimeOfDay = Date.now.bind(Date);
let offsetMs = 0;
Date.now = () => readTimeOfDay() + offsetMs;
process.on('SIGUSR2', () => {
	offsetMs = path === undefined ? 0 : Number(readFileSync(path, 'utf8'));
});
