/** The instances of a simulated day: those that run at the cloud, as the daemons know them, and reclaims of whole zones. */
import {makeOfferKey} from '@shallotpass/core/fleet/types.js';
import {chatService} from '../routing/simulated-daemon.js';
import {makeSimulatedEngine} from '../routing/simulated-engine.js';
import {type DaySimulation, listOffers} from './day-simulation.js';
import {type MemoryInstance} from './memory-cloud.js';

/** Time between the notice of a reclaim and the end of the instances. */
const noticeMs = 2000;

/** Time for which a zone refuses to start reclaimable instances after a reclaim. */
const startRefusalMs = 30_000;

/** Sends the current instance list to all daemons. */
const publishInstanceList = (day: DaySimulation): void => {
	day.listVersion++;
	for (const {registry} of day.daemons) {
		registry.applyInstanceList({version: day.listVersion, instances: [...day.listedInstances.values()]});
	}
};

/** Updates the engines and the instance list to the instances that run at the cloud. */
export const syncInstances = (day: DaySimulation): void => {
	const running = new Map(day.cloud.listRunning().map(instance => [instance.id, instance]));
	let hasChanged = false;
	for (const [id, engine] of day.engines) {
		if (!running.has(id) && day.listedInstances.delete(id)) {
			engine.terminate();
			hasChanged = true;
		}
	}

	for (const instance of running.values()) {
		if (!day.engines.has(instance.id) && instance.readyAt <= day.clock.now()) {
			addEngine(day, instance);
			hasChanged = true;
		}
	}

	if (hasChanged) {
		publishInstanceList(day);
	}
};

const addEngine = ({plan, engines, listedInstances, clock}: DaySimulation, {id, availabilityZone, machineClass}: MemoryInstance): void => {
	const machine = plan.deployment.machine.find(item => item.name === machineClass)!;
	engines.set(id, makeSimulatedEngine({id, availabilityZone, machine}, clock));
	listedInstances.set(id, {
		id, address: id, role: 'backend', availabilityZone, machineClass, state: 'live', services: [chatService],
	});
};

export const reportLoads = ({daemons, engines, listedInstances}: DaySimulation): void => {
	for (const {id, getLoadReport: getReport} of engines.values()) {
		if (listedInstances.has(id)) {
			for (const {registry} of daemons) {
				registry.applyLoadReport(id, getReport());
			}
		}
	}
};

/** Informs all daemons that an instance is about to end. */
export const announceEnd = ({daemons}: DaySimulation, id: string, leavesAt: number): void => {
	for (const {registry} of daemons) {
		registry.applyLeavingNotice(id, leavesAt);
	}
};

/** Reclaims all reclaimable instances of a zone after the notice. New ones are refused from the notice on until some time after the reclaim. */
export const reclaimZone = (day: DaySimulation, availabilityZone: string): void => {
	const {cloud, clock} = day;
	const leavesAt = clock.now() + noticeMs;
	const leaving = cloud.announceTermination(instance => instance.availabilityZone === availabilityZone && instance.isReclaimable);
	const offers = listOffers(day.plan.deployment).filter(offer => offer.availabilityZone === availabilityZone && offer.isReclaimable).map(offer => makeOfferKey(offer));
	for (const {id} of leaving) {
		announceEnd(day, id, leavesAt);
	}

	for (const offer of offers) {
		cloud.soldOut.add(offer);
	}

	clock.schedule(leavesAt, () => {
		cloud.terminate(leaving);
		syncInstances(day);
	});
	clock.schedule(leavesAt + startRefusalMs, () => {
		for (const offer of offers) {
			cloud.soldOut.delete(offer);
		}
	});
};
