import {type Clock} from '@crocusloom/model';
import {
	computeConditions, type Condition, type ConditionInput, type ConditionType,
} from './conditions.js';

/** Remembers since when each condition holds. */
export class ConditionTracker {
	private firstSeenMs: ReadonlyMap<string, number> = new Map();

	constructor(private readonly clock: Clock) {}

	/**
	 * Computes the conditions that hold now.
	 * @param input - states to judge
	 */
	evaluate(input: Omit<ConditionInput, 'sinceMsOf'>): readonly Condition[] {
		const nowMs = this.clock.nowMs();
		const sinceMsOf = (type: ConditionType, resource: string) => nowMs - (this.firstSeenMs.get(`${type} ${resource}`) ?? nowMs);
		const conditions = computeConditions({...input, sinceMsOf});
		this.firstSeenMs = new Map(conditions.map(({type, resource}) => {
			const key = `${type} ${resource}`;
			return [key, this.firstSeenMs.get(key) ?? nowMs];
		}));
		return conditions;
	}
}
