#ifndef PORTS_CRYPTO_H
#define PORTS_CRYPTO_H

#include <stddef.h>
#include <stdint.h>

/* Interface to random bytes, message authentication codes and digests. */

#define CRYPTO_KEY_BYTES 32
#define CRYPTO_MAC_BYTES 16
#define CRYPTO_DIGEST_BYTES 16

struct crypto;

/** struct crypto_ops - operations of a cryptographic library. */
struct crypto_ops {
	void (*random)(struct crypto *crypto, void *buf, size_t len);
	void (*mac)(struct crypto *crypto, const uint8_t key[CRYPTO_KEY_BYTES],
	    const void *data, size_t len, uint8_t mac[CRYPTO_MAC_BYTES]);
	void (*digest)(struct crypto *crypto, const void *data, size_t len,
	    uint8_t digest[CRYPTO_DIGEST_BYTES]);
};

struct crypto {
	const struct crypto_ops *ops;
};

#endif /* PORTS_CRYPTO_H */
