/** Time within which all daemons know a changed list of participants. */
import {needsRelays} from '@shallotpass/core/gossip/pick-relays.js';
import {countDaemons, type GatewayState} from '../gateway-state.js';

/** Three gossip rounds, or four to six through relays. */
const propagationMs = 1000;
const relayedPropagationMs = 2000;

export const getPropagationMs = (gateway: GatewayState): number => needsRelays(countDaemons(gateway)) ? relayedPropagationMs : propagationMs;
