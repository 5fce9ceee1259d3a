import {expect} from 'chai';
import {findFreePorts} from '../ports.js';

describe('free ports', () => {
	it('are different for each call (guards against two processes that are started on the same port)', async () => {
		const callCount = 40;
		const portsPerCall = 40;
		const ports: number[] = [];
		for (let call = 0; call < callCount; call++) {
			ports.push(...await findFreePorts(portsPerCall, '127.0.0.1'));
		}

		expect(new Set(ports)).to.have.lengthOf(callCount * portsPerCall);
	});
});
