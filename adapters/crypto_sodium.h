#ifndef ADAPTERS_CRYPTO_SODIUM_H
#define ADAPTERS_CRYPTO_SODIUM_H

#include "ports/crypto.h"

/**
 * crypto_sodium() - cryptographic functions of libsodium; static, never freed.
 *
 * Return: NULL if libsodium has no source of entropy.
 */
struct crypto *crypto_sodium(void);

#endif /* ADAPTERS_CRYPTO_SODIUM_H */
