/** Logs and counts clients whose connections were ended or refused for want of room. */
import {type GatewayState} from '../gateway-state.js';

export const reportClients = ({ledger, metrics, log}: GatewayState): void => {
	ledger.onGivenUp = ({listener, limit, kind, bytes, idleMs}) => {
		metrics.clientsGivenUp.inc({listener, limit, kind});
		log.write('state', 'client_given_up', {
			listener, limit, kind, bytes: Math.round(bytes), idleMs: Math.round(idleMs),
		});
	};

	ledger.onRefused = listener => {
		metrics.clientsRefused.inc({listener});
		log.write('state', 'client_refused', {listener, connections: ledger.countConnections(listener)});
	};
};
