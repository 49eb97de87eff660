/** Whether a rollout is in a final stage, after which only a newer request changes it. */
import {type Rollout} from './types.js';

export const isEnded = ({stage}: Pick<Rollout, 'stage'>): boolean => stage === 'completed' || stage === 'rolled_back';
