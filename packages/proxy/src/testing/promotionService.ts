import {type PromotionRequest, type PromotionResult, type PromotionService} from '../ports.js';

/** Creates a promotion service that receives each request that may be sent. */
export function promotionServiceOf(receive: (request: PromotionRequest) => PromotionResult | Promise<PromotionResult>): PromotionService {
	return {
		async requestPromotion(request) {
			return await request.mayBeSent() ? receive(request) : 'notSent';
		},
	};
}
