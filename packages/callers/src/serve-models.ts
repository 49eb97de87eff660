import {type CallerServices} from './services.js';
import {authenticate, type CallerCall} from './caller-call.js';

/** Sends the list of models that the caller's client account may use, in the OpenAI format. */
export const serveModels = (call: CallerCall, {configuration}: CallerServices): void => {
	const activeConfigurations = configuration.getActiveConfigurations();
	const {team, account} = authenticate(call.request, activeConfigurations);
	const services = activeConfigurations.teams.get(team)?.configuration.service ?? [];
	const models = services
		.filter(service => service.kind === 'model' && account.services.includes(service.name))
		.flatMap(service => service.models);
	const text = JSON.stringify({object: 'list', data: models.map(id => ({id, object: 'model', owned_by: 'shallotpass'}))}); // eslint-disable-line @typescript-eslint/naming-convention -- OpenAI's name
	call.response.writeHead(200, {'content-type': 'application/json', 'x-request-id': call.requestId});
	call.response.end(text);
};
