/*
 * Implements ports/crypto.h by libsodium. MACs and digests are BLAKE2b.
 */

#include <sodium.h>

#include "adapters/crypto_sodium.h"

static void
crypto_sodium_random(struct crypto *crypto, void *buf, size_t len)
{
	(void)crypto;
	randombytes_buf(buf, len);
}

static void
crypto_sodium_mac(struct crypto *crypto, const uint8_t key[CRYPTO_KEY_BYTES],
    const void *data, size_t len, uint8_t mac[CRYPTO_MAC_BYTES])
{
	(void)crypto;
	(void)crypto_generichash(mac, CRYPTO_MAC_BYTES, data, len, key,
	    CRYPTO_KEY_BYTES);
}

static void
crypto_sodium_digest(struct crypto *crypto, const void *data, size_t len,
    uint8_t digest[CRYPTO_DIGEST_BYTES])
{
	(void)crypto;
	(void)crypto_generichash(digest, CRYPTO_DIGEST_BYTES, data, len, NULL,
	    0);
}

static const struct crypto_ops crypto_sodium_ops = {
	.random = crypto_sodium_random,
	.mac = crypto_sodium_mac,
	.digest = crypto_sodium_digest,
};

struct crypto *
crypto_sodium(void)
{
	static struct crypto crypto = { .ops = &crypto_sodium_ops };

	if (sodium_init() < 0)
		return NULL;
	return &crypto;
}
