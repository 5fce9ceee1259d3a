import {compositeKey, type Clock} from '@crocusloom/model';
import {
	computeConditions, type Condition, type ConditionInput, type ConditionType,
} from './conditions.js';

/** Evaluates conditions and records since when each one has held. */
export class ConditionTracker {
	private firstSeenAtMs: ReadonlyMap<string, number> = new Map();

	constructor(private readonly clock: Clock) {}

	/**
	 * Computes the conditions that hold now.
	 * @param input - states to evaluate
	 */
	evaluate(input: Omit<ConditionInput, 'heldForMsOf'>): readonly Condition[] {
		const nowMs = this.clock.nowMs();
		const heldForMsOf = (type: ConditionType, resource: string) => nowMs - (this.firstSeenAtMs.get(compositeKey([type, resource])) ?? nowMs);
		const conditions = computeConditions({...input, heldForMsOf});
		this.firstSeenAtMs = new Map(conditions.map(({type, resource}) => {
			const key = compositeKey([type, resource]);
			return [key, this.firstSeenAtMs.get(key) ?? nowMs];
		}));
		return conditions;
	}
}
