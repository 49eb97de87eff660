/** Computes how long callers wait for an event of a stream, as the users' pages state it. */
import {type Route} from './serving-configuration.js';

export const leastPatienceMs = 2000;
const targetFactor = 4;
const pauseFactor = 8;

/** Returns the time without an event after which callers leave, in milliseconds. */
export const computePatience = ({targetMs, pauseMs}: Pick<Route, 'targetMs' | 'pauseMs'>): number => Math.max(leastPatienceMs, targetMs * targetFactor, pauseMs * pauseFactor);
